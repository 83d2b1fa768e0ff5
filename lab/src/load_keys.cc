#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <utility>

#include "load_keys_p.h"

namespace egretladder::lab {
namespace {

constexpr std::chrono::seconds kReadTimeout{10};

void AddRuns(const std::string& body, KeyRuns& runs) {
  rapidjson::Document document;
  document.Parse(body.c_str());
  if (document.HasParseError() || !document.IsObject()) return;
  const auto member = document.FindMember("runs");
  if (member == document.MemberEnd() || !member->value.IsObject()) return;
  for (const auto& entry : member->value.GetObject()) {
    runs[entry.name.GetString()] += entry.value.GetUint();
  }
}

std::array<std::pair<const char*, std::uint64_t>, 8> FieldsOf(
    const KeyReport& report) {
  return {{{"keys", report.keys},
           {"served", report.served},
           {"not_run", report.not_run},
           {"unknown", report.unknown},
           {"unknown_ran", report.unknown_ran},
           {"doubles", report.doubles},
           {"false_not_run", report.false_not_run},
           {"false_served", report.false_served}}};
}

}  // namespace

kernel::Result<KeyRuns> ReadRuns(kernel::Loop& loop,
                                 const std::vector<Address>& services) {
  HttpClient http(loop, services.size(), kReadTimeout);
  KeyRuns runs;
  std::size_t answered = 0;
  std::size_t left = services.size();
  for (const Address& service : services) {
    HttpCall call;
    call.path = "/counts?keys=1";
    call.on_done = [&](const HttpAnswer& answer) {
      if (answer.status == HTTP_OK) ++answered;
      AddRuns(answer.body, runs);
      if (--left == 0) kernel::StopLoop(loop);
    };
    http.Send(service, std::move(call));
  }
  kernel::RunLoop(loop);
  if (answered == services.size()) return runs;
  return kernel::MakeError(kernel::ErrorCode::kUnavailable, "read runs",
                           "services", "not every service answered");
}

KeyReport CompareKeys(const std::vector<KeyTold>& told, const KeyRuns& runs) {
  KeyReport report;
  for (const KeyTold& key : told) {
    const auto at = runs.find(key.key);
    const std::uint32_t ran = at == runs.end() ? 0 : at->second;
    ++report.keys;
    if (ran > 1) report.doubles += ran - 1;
    switch (key.verdict) {
      case KeyVerdict::kServed:
        ++report.served;
        if (ran == 0) ++report.false_served;
        break;
      case KeyVerdict::kNotRun:
        ++report.not_run;
        if (ran > 0) ++report.false_not_run;
        break;
      case KeyVerdict::kUnknown:
        ++report.unknown;
        if (ran > 0) ++report.unknown_ran;
        break;
    }
  }
  return report;
}

std::string TextOf(const KeyReport& report) {
  std::string text = "calls that may not be repeated:";
  for (const auto& [key, value] : FieldsOf(report)) {
    text += std::string(" ") + key + "=" + std::to_string(value);
  }
  return text;
}

std::string JsonOf(const KeyReport& report) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  for (const auto& [key, value] : FieldsOf(report)) {
    json.Key(key);
    json.Uint64(value);
  }
  json.EndObject();
  return buffer.GetString();
}

}  // namespace egretladder::lab
