#include "egretladder/lab/fault.h"

#include <rapidjson/document.h>

#include <array>
#include <string_view>

namespace egretladder::lab {
namespace {

struct FaultName {
  std::string_view name;
  FaultKind kind;
};
constexpr std::array<FaultName, 10> kFaultNames{{
    {"none", FaultKind::kNone},
    {"slow", FaultKind::kSlow},
    {"crash", FaultKind::kCrash},
    {"cold", FaultKind::kCold},
    {"garbage", FaultKind::kGarbage},
    {"half", FaultKind::kHalf},
    {"hang", FaultKind::kHang},
    {"wrong_length", FaultKind::kWrongLength},
    {"leaving", FaultKind::kLeaving},
    {"busy", FaultKind::kBusy},
}};

kernel::Error Refuse(std::string detail) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read fault",
                           "control call", std::move(detail));
}

}  // namespace

kernel::Result<Fault> ReadFault(const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  if (document.HasParseError() || !document.IsObject()) {
    return Refuse("expected a JSON object");
  }
  const auto kind = document.FindMember("fault");
  if (kind == document.MemberEnd() || !kind->value.IsString()) {
    return Refuse("expected \"fault\" with a name");
  }
  Fault fault;
  const auto factor = document.FindMember("factor");
  if (factor != document.MemberEnd() && factor->value.IsNumber()) {
    fault.factor = factor->value.GetDouble();
  }
  const auto share = document.FindMember("share");
  if (share != document.MemberEnd() && share->value.IsNumber()) {
    fault.share = share->value.GetDouble();
  }
  for (const FaultName& known : kFaultNames) {
    if (known.name != kind->value.GetString()) continue;
    fault.kind = known.kind;
    return fault;
  }
  return Refuse("unknown fault '" + std::string(kind->value.GetString()) + "'");
}

FaultKind DrawFault(FaultState& state) {
  if (state.fault.kind == FaultKind::kNone) return FaultKind::kNone;
  if (state.fault.share >= 1) return state.fault.kind;
  return kernel::RandomFraction(state.random) < state.fault.share
             ? state.fault.kind
             : FaultKind::kNone;
}

}  // namespace egretladder::lab
