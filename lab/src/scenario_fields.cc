// Typed access to the argument tables of the verbs.
#include <cmath>

#include "egretladder/kernel/time.h"
#include "scenario_build_p.h"

namespace egretladder::lab {
namespace {

void SetError(Fields& fields, const std::string& what) {
  if (fields.error.empty()) fields.error = fields.verb + ": " + what;
}

std::optional<FieldValue> Take(Fields& fields, const std::string& name) {
  const auto at = fields.values.find(name);
  if (at == fields.values.end()) return std::nullopt;
  FieldValue value = std::move(at->second);
  fields.values.erase(at);
  return value;
}

template <typename Value>
Value TakeAs(Fields& fields, const std::string& name, const char* expected,
             Value standard) {
  const auto value = Take(fields, name);
  if (!value) return standard;
  if (const auto* found = std::get_if<Value>(&*value)) return *found;
  SetError(fields, name + " must be " + expected);
  return standard;
}

}  // namespace

std::string TakeString(Fields& fields, const std::string& name,
                       const std::string& standard) {
  return TakeAs<std::string>(fields, name, "a text", standard);
}

std::string NeedString(Fields& fields, const std::string& name) {
  std::string value = TakeString(fields, name, "");
  if (value.empty()) SetError(fields, name + " is missing");
  return value;
}

std::vector<std::string> TakeList(Fields& fields, const std::string& name) {
  const auto value = Take(fields, name);
  if (!value) return {};
  if (const auto* one = std::get_if<std::string>(&*value)) return {*one};
  if (const auto* list = std::get_if<std::vector<std::string>>(&*value)) {
    return *list;
  }
  SetError(fields, name + " must be a name or a list of names");
  return {};
}

double TakeNumber(Fields& fields, const std::string& name, double standard) {
  return TakeAs<double>(fields, name, "a number", standard);
}

std::uint32_t TakeCount(Fields& fields, const std::string& name,
                        std::uint32_t standard) {
  const double value = TakeNumber(fields, name, standard);
  constexpr double kMost = 1e9;
  if (value >= 0 && value <= kMost && std::floor(value) == value) {
    return static_cast<std::uint32_t>(value);
  }
  SetError(fields, name + " must be a whole number from 0");
  return standard;
}

bool TakeBool(Fields& fields, const std::string& name, bool standard) {
  return TakeAs<bool>(fields, name, "true or false", standard);
}

std::chrono::nanoseconds TakeSpan(Fields& fields, const std::string& name,
                                  std::chrono::nanoseconds standard) {
  const std::string text = TakeString(fields, name, "");
  if (text.empty()) return standard;
  const auto span = kernel::ParseDuration(text.c_str());
  if (span.count() >= 0) return span;
  SetError(fields, name + " must be a duration such as \"250ms\"");
  return standard;
}

milliseconds TakeMillis(Fields& fields, const std::string& name,
                        milliseconds standard) {
  // The longest span has no value in nanoseconds.
  if (!fields.values.contains(name)) return standard;
  return std::chrono::duration_cast<milliseconds>(
      TakeSpan(fields, name, milliseconds(0)));
}

void EndFields(Fields& fields) {
  for (const auto& [name, value] : fields.values) {
    SetError(fields, "unknown field '" + name + "'");
  }
}

}  // namespace egretladder::lab
