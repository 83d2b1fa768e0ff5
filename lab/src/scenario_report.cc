// Results of a scenario as a table, as JSON and as data for a plot.
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

#include "egretladder/lab/scenario.h"

namespace egretladder::lab {
namespace {

using JsonWriter = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

void WriteClass(std::ostream& out, const ClassRow& row) {
  out << std::left << std::setw(22) << row.cls << std::right << std::setw(8)
      << row.sent << std::setw(8) << row.served << std::setw(8) << row.in_time
      << std::setw(8) << row.refused << std::setw(8) << row.unknown
      << std::setw(7) << row.left << std::setw(8) << std::fixed
      << std::setprecision(3) << row.attainment << std::setw(7)
      << row.p50.count() << std::setw(7) << row.p95.count() << std::setw(7)
      << row.p99.count() << std::setw(8) << row.worst.count() << '\n';
}

void PutString(JsonWriter& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.c_str());
}
void PutNumber(JsonWriter& json, const char* key, double value) {
  json.Key(key);
  json.Double(value);
}

void PutClass(JsonWriter& json, const ClassRow& row) {
  json.StartObject();
  PutString(json, "class", row.cls);
  PutNumber(json, "sent", static_cast<double>(row.sent));
  PutNumber(json, "served", static_cast<double>(row.served));
  PutNumber(json, "in_time", static_cast<double>(row.in_time));
  PutNumber(json, "refused", static_cast<double>(row.refused));
  PutNumber(json, "unknown", static_cast<double>(row.unknown));
  PutNumber(json, "left", static_cast<double>(row.left));
  PutNumber(json, "attainment", row.attainment);
  PutNumber(json, "p50_ms", static_cast<double>(row.p50.count()));
  PutNumber(json, "p95_ms", static_cast<double>(row.p95.count()));
  PutNumber(json, "p99_ms", static_cast<double>(row.p99.count()));
  PutNumber(json, "worst_ms", static_cast<double>(row.worst.count()));
  json.EndObject();
}

void PutResult(JsonWriter& json, const ScenarioResult& result) {
  json.StartObject();
  PutString(json, "policy", result.policy);
  json.Key("held");
  json.Bool(result.failures.empty());
  json.Key("failures");
  json.StartArray();
  for (const Failure& failure : result.failures) {
    json.StartObject();
    json.Key("line");
    json.Int(failure.line);
    PutString(json, "what", failure.what);
    json.EndObject();
  }
  json.EndArray();
  json.Key("expected");
  json.StartArray();
  for (const Expected& expected : result.expected) {
    json.StartObject();
    json.Key("line");
    json.Int(expected.line);
    PutString(json, "what", expected.what);
    PutNumber(json, "value", expected.value);
    json.EndObject();
  }
  json.EndArray();
  json.Key("classes");
  json.StartArray();
  for (const ClassRow& row : result.classes) PutClass(json, row);
  json.EndArray();
  json.Key("measures");
  json.StartObject();
  for (const Measure& measure : result.measures) {
    PutNumber(json, measure.name.c_str(), measure.value);
  }
  json.EndObject();
  json.EndObject();
}

/// The columns of a plot's data, in their order.
struct Columns {
  std::set<std::string> classes;
  std::set<std::string> zones;
};

Columns FindColumns(const ScenarioResult& result) {
  Columns columns;
  for (const Second& second : result.seconds) {
    for (const auto& [cls, count] : second.sent) columns.classes.insert(cls);
    for (const auto& [zone, count] : second.zone) columns.zones.insert(zone);
  }
  return columns;
}

void WriteData(std::ostream& out, const Columns& columns,
               const ScenarioResult& result) {
  out << "second queue";
  for (const auto& cls : columns.classes) out << ' ' << cls;
  for (const auto& zone : columns.zones) out << ' ' << zone;
  out << '\n';
  for (std::size_t i = 0; i < result.seconds.size(); ++i) {
    const Second& second = result.seconds[i];
    out << i << ' ' << second.queue;
    for (const auto& cls : columns.classes) {
      const auto at = second.attainment.find(cls);
      out << ' ';
      at == second.attainment.end() ? out << "NaN" : out << at->second;
    }
    for (const auto& zone : columns.zones) {
      const auto at = second.zone.find(zone);
      out << ' ' << (at == second.zone.end() ? 0 : at->second);
    }
    out << '\n';
  }
}

void WritePart(std::ostream& out, const std::string& data, const char* label,
               std::size_t first, std::size_t last) {
  out << "set ylabel '" << label << "'\nplot ";
  for (std::size_t column = first; column <= last; ++column) {
    out << (column == first ? "" : ", ") << '\'' << data
        << "' using 1:" << column << " with lines title columnheader(" << column
        << ')';
  }
  out << '\n';
}

void WriteGnuplot(std::ostream& out, const Columns& columns,
                  const std::string& base, const std::string& title) {
  const std::string data = base + ".dat";
  const std::size_t classes_end = 2 + columns.classes.size();
  out << "set terminal svg size 900,900\nset output '" << base << ".svg'\n"
      << "set multiplot layout 3,1 title '" << title << "'\n"
      << "set key outside\nset xlabel 'second'\nset yrange [0:*]\n";
  WritePart(out, data, "attainment", 3, classes_end);
  WritePart(out, data, "calls waiting", 2, 2);
  WritePart(out, data, "calls started, by zone", classes_end + 1,
            classes_end + columns.zones.size());
  out << "unset multiplot\n";
}

kernel::Result<void> WriteFile(const std::string& path,
                               const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (file) return BOOST_OUTCOME_V2_NAMESPACE::success();
  return kernel::MakeError(kernel::ErrorCode::kUnavailable, "write plot", path,
                           "can't be written");
}

}  // namespace

std::string TableOf(const Scenario& scenario, const ScenarioResult& result) {
  std::ostringstream out;
  out << scenario.file << ", policy " << result.policy << '\n'
      << "class                     sent  served in time refused unknown   "
         "left  attain    p50    p95    p99   worst\n";
  for (const ClassRow& row : result.classes) WriteClass(out, row);
  out << std::defaultfloat << std::setprecision(4);
  std::size_t column = 0;
  for (const Measure& measure : result.measures) {
    if (measure.value == 0) continue;
    out << (column % 4 == 0 ? "" : "  ") << measure.name << '='
        << measure.value;
    ++column;
    if (column % 4 == 0) out << '\n';
  }
  if (column % 4 != 0) out << '\n';
  for (const Expected& expected : result.expected) {
    out << "line " << expected.line << ": " << expected.what << ": "
        << expected.value << (expected.met ? "" : "  NOT MET") << '\n';
  }
  for (const Failure& failure : result.failures) {
    out << scenario.file << ':' << failure.line << ": " << failure.what << '\n';
  }
  out << (result.failures.empty() ? "held\n" : "FAILED\n");
  return out.str();
}

std::string JsonOf(const Scenario& scenario,
                   const std::vector<ScenarioResult>& results) {
  rapidjson::StringBuffer buffer;
  JsonWriter json(buffer);
  json.StartObject();
  PutString(json, "scenario", scenario.file);
  json.Key("seed");
  json.Uint64(scenario.seed);
  json.Key("runs");
  json.StartArray();
  for (const ScenarioResult& result : results) PutResult(json, result);
  json.EndArray();
  json.EndObject();
  return std::string(buffer.GetString()) + "\n";
}

kernel::Result<void> WritePlot(const Scenario& scenario,
                               const ScenarioResult& result,
                               const std::string& path) {
  const auto dot = path.rfind('.');
  const std::string base = path.substr(0, dot);
  const Columns columns = FindColumns(result);
  std::ostringstream data;
  WriteData(data, columns, result);
  std::ostringstream script;
  WriteGnuplot(script, columns, base, scenario.file + ", " + result.policy);
  BOOST_OUTCOME_TRY(WriteFile(base + ".dat", data.str()));
  return WriteFile(base + ".gp", script.str());
}

}  // namespace egretladder::lab
