#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <limits>

#include "documents_p.h"

namespace egretladder::gateway {
namespace {

using Value = rapidjson::Value;

constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag;

kernel::Error Invalid(const char* step, std::string detail) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, step, "",
                           std::move(detail));
}

std::uint64_t NumberIn(const Value& object, const char* key) {
  const auto at = object.FindMember(key);
  return at != object.MemberEnd() && at->value.IsUint64()
             ? at->value.GetUint64()
             : 0;
}

bool FlagIn(const Value& object, const char* key) {
  const auto at = object.FindMember(key);
  return at != object.MemberEnd() && at->value.IsBool() && at->value.GetBool();
}

std::uint32_t Narrow(std::uint64_t number) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(number, kMost));
}

}  // namespace

kernel::Result<std::vector<fleet::VmEntry>> ReadVms(std::string_view text) {
  constexpr const char* kStep = "read VM list";
  rapidjson::Document document;
  document.Parse<kParseFlags>(text.data(), text.size());
  if (document.HasParseError() || !document.IsArray()) {
    return Invalid(kStep, "not a JSON list");
  }
  std::vector<fleet::VmEntry> vms;
  for (const Value& one : document.GetArray()) {
    if (!one.IsObject()) return Invalid(kStep, "an entry is not an object");
    const auto name = one.FindMember("name");
    if (name == one.MemberEnd() || !name->value.IsString()) {
      return Invalid(kStep, "an entry has no name");
    }
    vms.push_back({{name->value.GetString(), name->value.GetStringLength()},
                   FlagIn(one, "leaving")});
  }
  return vms;
}

const std::vector<fleet::VmEntry>* TakeVmList(VmListRead& last, int status,
                                              const std::string& etag,
                                              std::string_view body) {
  constexpr int kOk = 200;
  constexpr int kNotModified = 304;
  if (status == kNotModified && !last.etag.empty()) return &last.vms;
  if (status != kOk) return nullptr;
  auto vms = ReadVms(body);
  if (!vms) return nullptr;
  last = {etag, std::move(vms).value()};
  return &last.vms;
}

kernel::Result<policy::EngineReport> ReadEngineReport(
    std::string_view text, const rules::Rules& rules) {
  rapidjson::Document document;
  document.Parse<kParseFlags>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) {
    return Invalid("read report", "not a JSON object");
  }
  policy::EngineReport report;
  // A longer age means no more than a day, which can't overflow.
  constexpr std::uint64_t kMostAge = 86'400'000;
  report.age = std::chrono::milliseconds(
      std::min(NumberIn(document, "age_ms"), kMostAge));
  report.boot = NumberIn(document, "boot");
  report.running = Narrow(NumberIn(document, "running"));
  report.waiting = Narrow(NumberIn(document, "waiting"));
  const auto cache = document.FindMember("cache_used");
  if (cache != document.MemberEnd() && cache->value.IsNumber()) {
    report.cache_used = std::clamp(cache->value.GetDouble(), 0.0, 1.0);
  }
  const auto loaded = document.FindMember("loaded");
  if (loaded == document.MemberEnd() || !loaded->value.IsArray()) return report;
  for (const Value& name : loaded->value.GetArray()) {
    if (!name.IsString()) continue;
    const auto target = rules::FindTarget(rules, name.GetString());
    if (rules::IsValid(target)) report.loaded.push_back(target);
  }
  return report;
}

std::string OrderText(const fleet::OrderEngine& order,
                      const std::string& model) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  writer.StartObject();
  writer.Key("kind");
  writer.String(order.kind == fleet::OrderKind::kLoad ? "load" : "unload");
  writer.Key("model");
  writer.String(model.c_str());
  writer.Key("fencing");
  writer.Uint64(order.fencing);
  writer.EndObject();
  return text.GetString();
}

}  // namespace egretladder::gateway
