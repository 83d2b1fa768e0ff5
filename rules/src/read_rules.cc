// Reads a rules document: names first, then what each line says of them, so
// that a line may refer to a later one.
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

constexpr std::chrono::milliseconds kRequired{-1};

bool IsName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength) return false;
  return std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_' ||
           c == '/' || c == ':';
  });
}

/// A name of an HTTP header (RFC 9110, token without the rarer signs).
bool IsHeaderName(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

/// Enters the rule's name and returns its row, which is that of the previous
/// version when the name stood there.
template <typename Row>
void EnterName(Reader& reader, const kernel::IniEntry& entry,
               std::vector<Row>& rows, NameIndex& index) {
  if (!IsName(entry.key)) {
    AddFault(reader, entry.line,
             entry.section + " '" + entry.key + "' is not a valid name",
             "use letters, digits and . - _ / : only, 64 at most");
  }
  const auto [at, fresh] = index.emplace(entry.key, rows.size());
  if (fresh) rows.emplace_back();
  Row& row = rows[at->second];
  if (row.source.present) {
    AddFault(reader, entry.line,
             entry.section + " '" + entry.key + "' is declared above, line " +
                 std::to_string(row.source.line),
             "models and services share their names; rename one");
    return;
  }
  row = Row{};
  row.source = {entry.key, entry.comment, entry.line, true};
}

template <typename Row>
void KeepGone(std::vector<Row>& rows) {
  for (Row& row : rows) row.source.present = false;
}

Rules StartFrom(const Rules* previous) {
  Rules rules;
  if (previous == nullptr) return rules;
  rules = *previous;
  rules.headers = CallerHeaders{};
  KeepGone(rules.zones);
  KeepGone(rules.targets);
  KeepGone(rules.classes);
  KeepGone(rules.accounts);
  KeepGone(rules.endpoints);
  KeepGone(rules.nodes);
  return rules;
}

template <typename Tag>
std::vector<Handle<Tag>> ToHandles(const std::vector<std::uint32_t>& rows) {
  std::vector<Handle<Tag>> handles;
  handles.reserve(rows.size());
  for (const std::uint32_t row : rows) handles.push_back({row});
  return handles;
}

/// Names of rows that the document at hand declares.
template <typename Row>
NameIndex PresentNames(const NameIndex& index, const std::vector<Row>& rows) {
  NameIndex present;
  for (const auto& [name, row] : index) {
    if (rows[row].source.present) present.emplace(name, row);
  }
  return present;
}

/// What the lines of a document may refer to.
struct Names {
  NameIndex zones;
  NameIndex targets;
  NameIndex classes;
};

void ReadDocumentLine(Reader& reader, const kernel::IniEntry& entry) {
  if (entry.key != "version") {
    AddFault(reader, entry.line, "unknown key '" + entry.key + "'",
             "known here: version");
    return;
  }
  reader.version_seen = true;
  const char* end = entry.value.data() + entry.value.size();
  std::uint64_t version = 0;
  const auto read = std::from_chars(entry.value.data(), end, version);
  if (read.ec != std::errc() || read.ptr != end || version == 0) {
    AddFault(reader, entry.line, "version '" + entry.value + "' is not valid",
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
    AddFault(reader, entry.line, "unknown key '" + entry.key + "'",
             "known here: account, class, timeout");
    return;
  }
  if (!IsHeaderName(entry.value)) {
    AddFault(reader, entry.line,
             "'" + entry.value + "' is not the name of a header",
             "use letters, digits, - and _");
    return;
  }
  *target = entry.value;
}

void ReadZone(Reader& reader, const Names&, const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Zone& zone =
      reader.rules.zones[reader.rules.zone_names.find(entry.key)->second];
  zone.region = TakeText(reader, line, "region", false);
  if (zone.region.empty()) zone.region = kStandardRegion;
  zone.out = TakeFlag(reader, line, "out", "yes", "no", false);
  RefuseLeftovers(reader, line, "region, out");
}

void ReadTarget(Reader& reader, const Names& names,
                const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Target& target =
      reader.rules.targets[reader.rules.target_names.find(entry.key)->second];
  if (target.source.line != entry.line) return;  // A duplicate; a fault.
  if (entry.section == "service") {
    target.kind = TargetKind::kService;
    RefuseLeftovers(reader, line, "none");
    return;
  }
  target.base.idx =
      TakeName(reader, line, "base", "model", names.targets, false);
  target.copies = TakeCount(reader, line, "copies", 1, 1);
  RefuseLeftovers(reader, line, "base, copies");
}

void ReadClass(Reader& reader, const Names&, const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Class& cls =
      reader.rules.classes[reader.rules.class_names.find(entry.key)->second];
  const auto tier = TakeCount(reader, line, "tier", 0, 0);
  if (tier < kTopTier || tier > kBottomTier) {
    AddFault(reader, entry.line,
             "class '" + entry.key + "': tier is missing or out of range",
             "give tier=1 (first) to tier=5 (last)");
  } else {
    cls.tier = static_cast<std::uint8_t>(tier);
  }
  cls.first_token = TakeSpan(reader, line, "first_token", kRequired);
  cls.between_tokens =
      TakeSpan(reader, line, "between_tokens", std::chrono::milliseconds(0));
  cls.max_wait = TakeSpan(reader, line, "max_wait", kStandardMaxWait);
  cls.repeatable = TakeFlag(reader, line, "repeatable", "yes", "no", true);
  cls.running = TakeCount(reader, line, "running", 0, 0);
  cls.waiting = TakeCount(reader, line, "waiting", 0, 0);
  RefuseLeftovers(reader, line,
                  "tier, first_token, between_tokens, max_wait, repeatable, "
                  "running, waiting");
}

void ReadAccount(Reader& reader, const Names& names,
                 const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Account& account =
      reader.rules.accounts[reader.rules.account_names.find(entry.key)->second];
  account.classes = ToHandles<ClassTag>(
      TakeNames(reader, line, "classes", "class", names.classes));
  account.running = TakeCount(reader, line, "running", 0, 0);
  account.waiting = TakeCount(reader, line, "waiting", 0, 0);
  account.share = TakeCount(reader, line, "share", 1, 1);
  RefuseLeftovers(reader, line, "classes, running, waiting, share");
}

void ReadEndpoint(Reader& reader, const Names& names,
                  const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Endpoint& endpoint =
      reader.rules
          .endpoints[reader.rules.endpoint_names.find(entry.key)->second];
  endpoint.address = TakeAddress(reader, line, "address");
  endpoint.zone.idx = TakeName(reader, line, "zone", "zone", names.zones, true);
  endpoint.serves = ToHandles<TargetTag>(
      TakeNames(reader, line, "serves", "model or service", names.targets));
  endpoint.max_in_flight = TakeCount(reader, line, "bears", 1, 1);
  endpoint.cold_max_in_flight = TakeCount(reader, line, "cold_bears", 1, 1);
  if (endpoint.cold_max_in_flight > endpoint.max_in_flight) {
    AddFault(reader, entry.line,
             "endpoint '" + entry.key + "': cold_bears is above bears",
             "an endpoint bears no more cold than warm");
  }
  endpoint.max_loaded_models = TakeCount(reader, line, "holds", 1, 1);
  endpoint.honours_fencing =
      TakeFlag(reader, line, "fencing", "honoured", "ignored", false);
  endpoint.leaving = TakeFlag(reader, line, "leaving", "yes", "no", false);
  RefuseLeftovers(reader, line,
                  "address, zone, serves, bears, cold_bears, holds, fencing, "
                  "leaving");
}

void ReadNode(Reader& reader, const Names& names,
              const kernel::IniEntry& entry) {
  RuleLine line = SplitWords(reader, entry);
  Node& node =
      reader.rules.nodes[reader.rules.node_names.find(entry.key)->second];
  node.caller_address = TakeAddress(reader, line, "callers");
  node.peer_address = TakeAddress(reader, line, "peers");
  node.zone.idx = TakeName(reader, line, "zone", "zone", names.zones, true);
  node.leaving = TakeFlag(reader, line, "leaving", "yes", "no", false);
  RefuseLeftovers(reader, line, "callers, peers, zone, leaving");
}

void EnterEntry(Reader& reader, const kernel::IniEntry& entry) {
  Rules& rules = reader.rules;
  if (entry.section == "zone") {
    EnterName(reader, entry, rules.zones, rules.zone_names);
  } else if (entry.section == "model" || entry.section == "service") {
    EnterName(reader, entry, rules.targets, rules.target_names);
  } else if (entry.section == "class") {
    EnterName(reader, entry, rules.classes, rules.class_names);
  } else if (entry.section == "account") {
    EnterName(reader, entry, rules.accounts, rules.account_names);
  } else if (entry.section == "endpoint") {
    EnterName(reader, entry, rules.endpoints, rules.endpoint_names);
  } else if (entry.section == "node") {
    EnterName(reader, entry, rules.nodes, rules.node_names);
  } else if (entry.section == "document") {
    ReadDocumentLine(reader, entry);
  } else if (entry.section == "headers") {
    ReadHeaderLine(reader, entry);
  } else {
    AddFault(reader, entry.line, "unknown section '" + entry.section + "'",
             "known: document, headers, zone, model, service, class, account, "
             "endpoint, node");
  }
}

using LineReader = void (*)(Reader&, const Names&, const kernel::IniEntry&);

LineReader ReaderOf(const std::string& section) {
  static const std::array<std::pair<const char*, LineReader>, 7> kReaders = {{
      {"zone", ReadZone},
      {"model", ReadTarget},
      {"service", ReadTarget},
      {"class", ReadClass},
      {"account", ReadAccount},
      {"endpoint", ReadEndpoint},
      {"node", ReadNode},
  }};
  for (const auto& [name, read] : kReaders) {
    if (section == name) return read;
  }
  return nullptr;
}

/// A rule nobody stands for can't be questioned later, when it is in the way.
void RequireComment(Reader& reader, const kernel::IniEntry& entry) {
  if (!entry.comment.empty()) return;
  AddFault(reader, entry.line,
           entry.section + " '" + entry.key + "' names nobody who asked for it",
           "end the line with ' ; ' and who asked for it");
}

/// An adapter needs a model under it that is none itself.
void CheckBases(Reader& reader) {
  for (const Target& target : reader.rules.targets) {
    if (!target.source.present || !IsValid(target.base)) continue;
    const Target& base = reader.rules.targets[target.base.idx];
    if (base.kind == TargetKind::kModel && !IsValid(base.base)) continue;
    AddFault(reader, target.source.line,
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
    AddFault(reader, target.source.line,
             "model '" + target.source.name +
                 "': copies=" + std::to_string(target.copies) + ", but " +
                 std::to_string(serving) + " endpoints serve it",
             "lower copies or name it in more endpoints' serves");
  }
}

void ReadEntries(Reader& reader, const std::vector<kernel::IniEntry>& entries) {
  for (const auto& entry : entries) {
    EnterEntry(reader, entry);
    RequireComment(reader, entry);
  }
  const Rules& rules = reader.rules;
  const Names names{PresentNames(rules.zone_names, rules.zones),
                    PresentNames(rules.target_names, rules.targets),
                    PresentNames(rules.class_names, rules.classes)};
  for (const auto& entry : entries) {
    const LineReader read = ReaderOf(entry.section);
    if (read != nullptr) read(reader, names, entry);
  }
  if (!reader.version_seen) {
    AddFault(reader, 1, "the version is missing",
             "add [document] with version = N ; who");
  }
  CheckBases(reader);
  CheckCopies(reader);
}

kernel::Error ToError(const ValidationError& fault) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read rules",
                           fault.file + ":" + std::to_string(fault.line),
                           fault.what + "; " + fault.hint);
}

/// Splits `file:line` as the INI reader gives it.
ValidationError ToFault(const kernel::Error& error, std::string_view file) {
  ValidationError fault{std::string(file), 0, error.detail,
                        "write `key = words ; who asked`, each key once"};
  const auto colon = error.peer.rfind(':');
  if (colon != std::string::npos) {
    const char* end = error.peer.data() + error.peer.size();
    std::from_chars(error.peer.data() + colon + 1, end, fault.line);
  }
  return fault;
}

void ReadText(Reader& reader, const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    AddFault(reader, 0, "the document is longer than a mebibyte",
             "the configuration service holds no larger value");
    return;
  }
  const auto entries = kernel::ReadIni(text, reader.file);
  if (!entries.has_value()) {
    reader.faults.push_back(ToFault(entries.error(), reader.file));
    return;
  }
  ReadEntries(reader, entries.value());
}

}  // namespace

kernel::Result<RulesPtr> ReadRules(const std::string& text,
                                   std::string_view file, const Rules* previous,
                                   std::vector<ValidationError>* faults) {
  Reader reader{std::string(file), {}, StartFrom(previous), {}, false};
  reader.rules.version = 0;
  ReadText(reader, text);
  std::stable_sort(reader.faults.begin(), reader.faults.end(),
                   [](const ValidationError& a, const ValidationError& b) {
                     return a.line < b.line;
                   });
  if (faults != nullptr) *faults = reader.faults;
  if (!reader.faults.empty()) return ToError(reader.faults.front());
  reader.rules.text = text;
  reader.rules.digest = kernel::HashBytes(text);
  return std::make_shared<const Rules>(std::move(reader.rules));
}

}  // namespace egretladder::rules
