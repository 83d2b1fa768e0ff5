#include "egretladder/lab/platform_model.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <cstdlib>
#include <string_view>
#include <utility>

#include "egretladder/kernel/ini.h"

namespace egretladder::lab {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

struct FaultName {
  std::string_view name;
  PlatformFault fault;
};
constexpr std::array<FaultName, 5> kFaultNames{{
    {"none", PlatformFault::kNone},
    {"down", PlatformFault::kDown},
    {"slow", PlatformFault::kSlow},
    {"stale", PlatformFault::kStale},
    {"old", PlatformFault::kOld},
}};

kernel::Error Refuse(std::string detail) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "control platform",
                           "control call", std::move(detail));
}

std::string JsonOf(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  value.Accept(json);
  return buffer.GetString();
}

kernel::Result<void> SetFault(PlatformState& state, std::string_view name) {
  for (const FaultName& known : kFaultNames) {
    if (known.name != name) continue;
    state.fault = known.fault;
    state.stale_at = state.published.empty() ? 0 : state.published.size() - 1;
    return boost::outcome_v2::success();
  }
  return Refuse("unknown fault '" + std::string(name) + "'");
}

}  // namespace

kernel::Result<std::uint64_t> Publish(PlatformState& state, std::string text) {
  const auto entries = kernel::ReadIni(text, "rules");
  if (!entries) return entries.error();
  for (const kernel::IniEntry& entry : entries.value()) {
    if (entry.section != "document" || entry.key != "version") continue;
    Publication next{std::strtoull(entry.value.c_str(), nullptr, 10),
                     std::move(text)};
    state.published.push_back(std::move(next));
    return state.published.back().version;
  }
  return Refuse("the rules have no [document] version");
}

kernel::Result<void> Control(PlatformState& state, const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  if (document.HasParseError() || !document.IsObject()) {
    return Refuse("expected a JSON object");
  }
  for (const auto& member : document.GetObject()) {
    const std::string_view key = member.name.GetString();
    if (key == "vms" && member.value.IsArray()) {
      state.vms = JsonOf(member.value);
      continue;
    }
    if (!member.value.IsString()) return Refuse("expected text");
    if (key == "fault") {
      BOOST_OUTCOME_TRYV(SetFault(state, member.value.GetString()));
    } else if (key == "only") {
      state.only = member.value.GetString();
    } else if (key == "rules") {
      BOOST_OUTCOME_TRYV(Publish(state, member.value.GetString()));
      state.vms = VmsOf(state.published.back().text);
    } else {
      return Refuse("unknown key '" + std::string(key) + "'");
    }
  }
  return boost::outcome_v2::success();
}

bool IsDown(const PlatformState& state, const std::string& host) {
  return state.fault == PlatformFault::kDown ||
         (!state.only.empty() && state.only != host);
}

const Publication* Served(const PlatformState& state) {
  if (state.published.empty()) return nullptr;
  switch (state.fault) {
    case PlatformFault::kStale:
      return &state.published[state.stale_at];
    case PlatformFault::kOld:
      return &state.published.front();
    default:
      return &state.published.back();
  }
}

std::string VmsOf(const std::string& rules_text) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartArray();
  const auto entries = kernel::ReadIni(rules_text, "rules");
  if (entries) {
    for (const kernel::IniEntry& entry : entries.value()) {
      if (entry.section != "node") continue;
      json.StartObject();
      json.Key("name");
      json.String(entry.key.c_str());
      json.Key("leaving");
      json.Bool(entry.value.find("leaving=yes") != std::string::npos);
      json.EndObject();
    }
  }
  json.EndArray();
  return buffer.GetString();
}

std::string PlatformCountsJson(const PlatformState& state,
                               std::size_t waiting_watches) {
  const PlatformCounts& counts = state.counts;
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  json.Key("calls");
  json.Uint64(counts.rules + counts.watches + counts.vms);
  json.Key("rules");
  json.Uint64(counts.rules);
  json.Key("watches");
  json.Uint64(counts.watches);
  json.Key("vms");
  json.Uint64(counts.vms);
  json.Key("failed");
  json.Uint64(counts.failed);
  json.Key("waiting_watches");
  json.Uint64(waiting_watches);
  json.Key("version");
  json.Uint64(Served(state) == nullptr ? 0 : Served(state)->version);
  json.EndObject();
  return buffer.GetString();
}

}  // namespace egretladder::lab
