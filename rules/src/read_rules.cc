// Reads a rules document in two passes: the first declares the names and the
// second reads the lines, so that a line can refer to a later one.
#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/ini.h"
#include "egretladder/rules/limits.h"
#include "reader_p.h"

namespace egretladder::rules {
namespace {

/// A negative default value, which makes a duration field required.
constexpr std::chrono::milliseconds kRequiredDuration{-1};

bool IsName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_' ||
           c == '/' || c == ':';
  });
}

/// Returns true for the name of an HTTP header: a token of RFC 9110, restricted
/// to letters, digits, `-` and `_`.
bool IsHeaderName(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

/// Declares the name of a rule. Its row is that of the previous version if the
/// name existed there.
template <typename Row>
void DeclareName(Reader& reader, const kernel::IniEntry& entry,
                 std::vector<Row>& rows, NameIndex& index) {
  if (!IsName(entry.key)) {
    AddError(reader, entry.line,
             entry.section + " '" + entry.key + "' is not a valid name",
             "use letters, digits and . - _ / : only, 64 at most");
  }
  const auto [it, inserted] = index.emplace(entry.key, rows.size());
  if (inserted) rows.emplace_back();
  Row& row = rows[it->second];
  if (row.source.present) {
    AddError(reader, entry.line,
             entry.section + " '" + entry.key + "' is declared above, line " +
                 std::to_string(row.source.line),
             "models and services share their names; rename one");
    return;
  }
  row = Row{};
  row.source = {entry.key, entry.comment, entry.line, true};
}

/// Marks all rows as not declared; `DeclareName` marks those of this version.
template <typename Row>
void MarkAbsent(std::vector<Row>& rows) {
  for (Row& row : rows) row.source.present = false;
}

/// Returns the rules before the document is read: the rows of `previous`, all
/// marked as not declared, so that names keep their handles.
Rules MakeInitialRules(const Rules* previous) {
  Rules rules;
  if (previous == nullptr) return rules;
  rules = *previous;
  rules.headers = CallerHeaders{};
  MarkAbsent(rules.zones);
  MarkAbsent(rules.targets);
  MarkAbsent(rules.classes);
  MarkAbsent(rules.accounts);
  MarkAbsent(rules.endpoints);
  MarkAbsent(rules.nodes);
  return rules;
}

template <typename Tag>
std::vector<Handle<Tag>> ToHandles(const std::vector<std::uint32_t>& rows) {
  std::vector<Handle<Tag>> handles;
  handles.reserve(rows.size());
  for (const std::uint32_t row : rows) handles.push_back({row});
  return handles;
}

/// Returns the names that this document declares.
template <typename Row>
NameIndex PresentNames(const NameIndex& index, const std::vector<Row>& rows) {
  NameIndex present;
  for (const auto& [name, row] : index) {
    if (rows[row].source.present) present.emplace(name, row);
  }
  return present;
}

/// The declared names to which lines of the document may refer.
struct DeclaredNames {
  NameIndex zones;
  NameIndex targets;
  NameIndex classes;
};

void ReadDocumentLine(Reader& reader, const kernel::IniEntry& entry) {
  if (entry.key != "version") {
    AddError(reader, entry.line, "unknown key '" + entry.key + "'",
             "known here: version");
    return;
  }
  reader.has_version = true;
  const char* end = entry.value.data() + entry.value.size();
  std::uint64_t version = 0;
  const auto result = std::from_chars(entry.value.data(), end, version);
  if (result.ec != std::errc() || result.ptr != end || version == 0) {
    AddError(reader, entry.line, "version '" + entry.value + "' is not valid",
             "give a whole number from 1, higher than the last");
    return;
  }
  reader.rules.version = version;
}

void ReadHeaderLine(Reader& reader, const kernel::IniEntry& entry) {
  CallerHeaders& headers = reader.rules.headers;
  std::string* target = entry.key == "account"   ? &headers.account
                        : entry.key == "class"   ? &headers.cls
                        : entry.key == "timeout" ? &headers.timeout
                                                 : nullptr;
  if (target == nullptr) {
    AddError(reader, entry.line, "unknown key '" + entry.key + "'",
             "known here: account, class, timeout");
    return;
  }
  if (!IsHeaderName(entry.value)) {
    AddError(reader, entry.line,
             "'" + entry.value + "' is not the name of a header",
             "use letters, digits, - and _");
    return;
  }
  *target = entry.value;
}

void ReadZone(Reader& reader, const DeclaredNames&,
              const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Zone& zone =
      reader.rules.zones[reader.rules.zone_names.find(entry.key)->second];
  zone.region = ConsumeText(reader, line, "region", false);
  if (zone.region.empty()) zone.region = kDefaultRegion;
  zone.out = ConsumeFlag(reader, line, "out", "yes", "no", false);
  RejectUnknownKeys(reader, line, "region, out");
}

void ReadTarget(Reader& reader, const DeclaredNames& names,
                const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Target& target =
      reader.rules.targets[reader.rules.target_names.find(entry.key)->second];
  // A duplicate name, already reported.
  if (target.source.line != entry.line) return;
  if (entry.section == "service") {
    target.kind = TargetKind::kService;
    RejectUnknownKeys(reader, line, "none");
    return;
  }
  target.base.idx =
      ConsumeName(reader, line, "base", "model", names.targets, false);
  target.copies = ConsumeCount(reader, line, "copies", 1, 1);
  RejectUnknownKeys(reader, line, "base, copies");
}

void ReadClass(Reader& reader, const DeclaredNames&,
               const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Class& cls =
      reader.rules.classes[reader.rules.class_names.find(entry.key)->second];
  const auto tier = ConsumeCount(reader, line, "tier", 0, 0);
  if (tier < kTopTier || tier > kBottomTier) {
    AddError(reader, entry.line,
             "class '" + entry.key + "': tier is missing or out of range",
             "give tier=1 (first) to tier=5 (last)");
  } else {
    cls.tier = static_cast<std::uint8_t>(tier);
  }
  cls.first_token =
      ConsumeDuration(reader, line, "first_token", kRequiredDuration);
  cls.between_tokens = ConsumeDuration(reader, line, "between_tokens",
                                       std::chrono::milliseconds(0));
  cls.max_wait = ConsumeDuration(reader, line, "max_wait", kDefaultMaxWait);
  cls.repeatable = ConsumeFlag(reader, line, "repeatable", "yes", "no", true);
  cls.running = ConsumeCount(reader, line, "running", 0, 0);
  cls.waiting = ConsumeCount(reader, line, "waiting", 0, 0);
  RejectUnknownKeys(reader, line,
                    "tier, first_token, between_tokens, max_wait, repeatable, "
                    "running, waiting");
}

void ReadAccount(Reader& reader, const DeclaredNames& names,
                 const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Account& account =
      reader.rules.accounts[reader.rules.account_names.find(entry.key)->second];
  account.classes = ToHandles<ClassTag>(
      ConsumeNames(reader, line, "classes", "class", names.classes));
  account.running = ConsumeCount(reader, line, "running", 0, 0);
  account.waiting = ConsumeCount(reader, line, "waiting", 0, 0);
  account.share = ConsumeCount(reader, line, "share", 1, 1);
  RejectUnknownKeys(reader, line, "classes, running, waiting, share");
}

void ReadEndpoint(Reader& reader, const DeclaredNames& names,
                  const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Endpoint& endpoint =
      reader.rules
          .endpoints[reader.rules.endpoint_names.find(entry.key)->second];
  endpoint.address = ConsumeAddress(reader, line, "address");
  endpoint.zone.idx =
      ConsumeName(reader, line, "zone", "zone", names.zones, true);
  endpoint.serves = ToHandles<TargetTag>(
      ConsumeNames(reader, line, "serves", "model or service", names.targets));
  endpoint.max_in_flight = ConsumeCount(reader, line, "bears", 1, 1);
  endpoint.cold_max_in_flight = ConsumeCount(reader, line, "cold_bears", 1, 1);
  if (endpoint.cold_max_in_flight > endpoint.max_in_flight) {
    AddError(reader, entry.line,
             "endpoint '" + entry.key + "': cold_bears is above bears",
             "an endpoint bears no more cold than warm");
  }
  endpoint.max_loaded_models = ConsumeCount(reader, line, "holds", 1, 1);
  endpoint.honours_fencing =
      ConsumeFlag(reader, line, "fencing", "honoured", "ignored", false);
  endpoint.leaving = ConsumeFlag(reader, line, "leaving", "yes", "no", false);
  RejectUnknownKeys(reader, line,
                    "address, zone, serves, bears, cold_bears, holds, fencing, "
                    "leaving");
}

void ReadNode(Reader& reader, const DeclaredNames& names,
              const kernel::IniEntry& entry) {
  RuleLine line = SplitFields(reader, entry);
  Node& node =
      reader.rules.nodes[reader.rules.node_names.find(entry.key)->second];
  node.caller_address = ConsumeAddress(reader, line, "callers");
  node.peer_address = ConsumeAddress(reader, line, "peers");
  node.zone.idx = ConsumeName(reader, line, "zone", "zone", names.zones, true);
  node.leaving = ConsumeFlag(reader, line, "leaving", "yes", "no", false);
  RejectUnknownKeys(reader, line, "callers, peers, zone, leaving");
}

void DeclareEntry(Reader& reader, const kernel::IniEntry& entry) {
  Rules& rules = reader.rules;
  if (entry.section == "zone") {
    DeclareName(reader, entry, rules.zones, rules.zone_names);
  } else if (entry.section == "model" || entry.section == "service") {
    DeclareName(reader, entry, rules.targets, rules.target_names);
  } else if (entry.section == "class") {
    DeclareName(reader, entry, rules.classes, rules.class_names);
  } else if (entry.section == "account") {
    DeclareName(reader, entry, rules.accounts, rules.account_names);
  } else if (entry.section == "endpoint") {
    DeclareName(reader, entry, rules.endpoints, rules.endpoint_names);
  } else if (entry.section == "node") {
    DeclareName(reader, entry, rules.nodes, rules.node_names);
  } else if (entry.section == "document") {
    ReadDocumentLine(reader, entry);
  } else if (entry.section == "headers") {
    ReadHeaderLine(reader, entry);
  } else {
    AddError(reader, entry.line, "unknown section '" + entry.section + "'",
             "known: document, headers, zone, model, service, class, account, "
             "endpoint, node");
  }
}

using LineReader = void (*)(Reader&, const DeclaredNames&,
                            const kernel::IniEntry&);

LineReader FindLineReader(const std::string& section) {
  static const std::array<std::pair<const char*, LineReader>, 7> kReaders = {{
      {"zone", ReadZone},
      {"model", ReadTarget},
      {"service", ReadTarget},
      {"class", ReadClass},
      {"account", ReadAccount},
      {"endpoint", ReadEndpoint},
      {"node", ReadNode},
  }};
  for (const auto& [name, read_line] : kReaders) {
    if (section == name) return read_line;
  }
  return nullptr;
}

/// Adds an error for a rule without a comment. A rule without a requester can't
/// be questioned later, when it causes trouble.
void RequireComment(Reader& reader, const kernel::IniEntry& entry) {
  if (!entry.comment.empty()) return;
  AddError(reader, entry.line,
           entry.section + " '" + entry.key + "' names nobody who asked for it",
           "end the line with ' ; ' and who asked for it");
}

/// Adds an error for each adapter whose base is not a plain model.
void CheckBaseModels(Reader& reader) {
  for (const Target& target : reader.rules.targets) {
    if (!target.source.present || !IsValid(target.base)) continue;
    const Target& base = reader.rules.targets[target.base.idx];
    if (base.kind == TargetKind::kModel && !IsValid(base.base)) continue;
    AddError(reader, target.source.line,
             "model '" + target.source.name + "': base=" + base.source.name +
                 " is an adapter or a service",
             "name a model without a base");
  }
}

void CheckCopies(Reader& reader) {
  const Rules& rules = reader.rules;
  for (std::uint32_t idx = 0; idx < rules.targets.size(); ++idx) {
    const Target& target = rules.targets[idx];
    if (!target.source.present || target.copies <= 1) continue;
    const auto serving = std::count_if(
        rules.endpoints.begin(), rules.endpoints.end(),
        [&](const Endpoint& endpoint) {
          return endpoint.source.present && Serves(endpoint, {idx});
        });
    if (std::cmp_greater_equal(serving, target.copies)) continue;
    AddError(reader, target.source.line,
             "model '" + target.source.name +
                 "': copies=" + std::to_string(target.copies) + ", but " +
                 std::to_string(serving) + " endpoints serve it",
             "lower copies or name it in more endpoints' serves");
  }
}

void ReadEntries(Reader& reader, const std::vector<kernel::IniEntry>& entries) {
  for (const auto& entry : entries) {
    DeclareEntry(reader, entry);
    RequireComment(reader, entry);
  }
  const Rules& rules = reader.rules;
  const DeclaredNames names{PresentNames(rules.zone_names, rules.zones),
                            PresentNames(rules.target_names, rules.targets),
                            PresentNames(rules.class_names, rules.classes)};
  for (const auto& entry : entries) {
    const LineReader read_line = FindLineReader(entry.section);
    if (read_line != nullptr) read_line(reader, names, entry);
  }
  if (!reader.has_version) {
    AddError(reader, 1, "the version is missing",
             "add [document] with version = N ; who");
  }
  CheckBaseModels(reader);
  CheckCopies(reader);
}

kernel::Error ToKernelError(const ValidationError& error) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read rules",
                           error.file + ":" + std::to_string(error.line),
                           error.what + "; " + error.hint);
}

/// Converts an error of the INI reader, whose `peer` is `file:line`.
ValidationError ToValidationError(const kernel::Error& error,
                                  std::string_view file) {
  ValidationError result{std::string(file), 0, error.detail,
                         "write `key = words ; who asked`, each key once"};
  const auto colon = error.peer.rfind(':');
  if (colon != std::string::npos) {
    const char* end = error.peer.data() + error.peer.size();
    std::from_chars(error.peer.data() + colon + 1, end, result.line);
  }
  return result;
}

void ReadText(Reader& reader, const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    AddError(reader, 0, "the document is longer than a mebibyte",
             "the configuration service holds no larger value");
    return;
  }
  const auto entries = kernel::ReadIni(text, reader.file);
  if (!entries.has_value()) {
    reader.errors.push_back(ToValidationError(entries.error(), reader.file));
    return;
  }
  ReadEntries(reader, entries.value());
}

}  // namespace

kernel::Result<RulesPtr> ReadRules(const std::string& text,
                                   std::string_view file, const Rules* previous,
                                   std::vector<ValidationError>* errors) {
  Reader reader{std::string(file), {}, MakeInitialRules(previous), {}, false};
  reader.rules.version = 0;
  ReadText(reader, text);
  std::stable_sort(reader.errors.begin(), reader.errors.end(),
                   [](const ValidationError& a, const ValidationError& b) {
                     return a.line < b.line;
                   });
  if (errors != nullptr) *errors = reader.errors;
  if (!reader.errors.empty()) return ToKernelError(reader.errors.front());
  reader.rules.text = text;
  reader.rules.digest = kernel::HashBytes(text);
  return std::make_shared<const Rules>(std::move(reader.rules));
}

}  // namespace egretladder::rules
