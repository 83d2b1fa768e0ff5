#include "egretladder/lab/service_model.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "egretladder/lab/config.h"

namespace egretladder::lab {

std::uint32_t RecordRun(ServiceModel& model, const std::string& key,
                        kernel::Time now) {
  ++model.requests;
  model.last_run = now;
  if (key.empty()) {
    ++model.without_key;
    return 1;
  }
  const auto at = model.runs.find(key);
  if (at != model.runs.end()) return ++at->second;
  if (model.runs.size() >= kMaxRememberedKeys) {
    ++model.not_remembered;
    return 1;
  }
  model.runs.emplace(key, 1);
  return 1;
}

std::uint64_t DoublesOf(const ServiceModel& model) {
  std::uint64_t doubles = 0;
  for (const auto& [key, runs] : model.runs) doubles += runs - 1;
  return doubles;
}

std::string CountsJson(const ServiceModel& model, bool list_keys,
                       kernel::Time now) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  json.Key("requests");
  json.Uint64(model.requests);
  json.Key("idle_ms");
  json.Int64(model.last_run
                 ? std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - *model.last_run)
                       .count()
                 : -1);
  json.Key("keys");
  json.Uint64(model.runs.size());
  json.Key("doubles");
  json.Uint64(DoublesOf(model));
  json.Key("without_key");
  json.Uint64(model.without_key);
  json.Key("not_remembered");
  json.Uint64(model.not_remembered);
  if (list_keys) {
    json.Key("runs");
    json.StartObject();
    for (const auto& [key, runs] : model.runs) {
      json.Key(key.c_str());
      json.Uint(runs);
    }
    json.EndObject();
  }
  json.EndObject();
  return buffer.GetString();
}

}  // namespace egretladder::lab
