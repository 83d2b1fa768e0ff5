// The published rules: one INI document, one line per rule, each with a
// trailing comment that names who asked for it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/kernel/error.h"
#include "egretladder/rules/handles.h"

namespace egretladder::rules {

/// The service tier that comes before all others.
inline constexpr std::uint8_t kTopTier = 1;
/// The service tier that comes last; tiers are numbered without a gap.
inline constexpr std::uint8_t kBottomTier = 5;

/// What every rule carries.
struct RuleSource {
  std::string name;
  std::string asked_by;    ///< The line's comment; never empty.
  std::uint32_t line = 0;  ///< In the document in force.
  bool present = false;    ///< False once a version no longer names it.
};

/// `[zone] bole = region=addis out=no ; ...`
struct Zone {
  RuleSource source;
  std::string region;
  bool out = false;  ///< Taken out by operators: receives no new work.
};

/// Models are placed on endpoints; services run where the rules say.
enum class TargetKind : std::uint8_t { kModel, kService };

/// `[model] NAME = base=M copies=N` or `[service] NAME =`. An adapter is a
/// model with a base.
struct Target {
  RuleSource source;
  TargetKind kind = TargetKind::kModel;
  TargetHandle base;         ///< Of an adapter; not valid otherwise.
  std::uint32_t copies = 1;  ///< Endpoints that should hold the model.
};

/// `[class] NAME = tier=1 first_token=1800ms between_tokens=43ms ...`
struct Class {
  RuleSource source;
  std::uint8_t tier = kBottomTier;
  std::chrono::milliseconds first_token{};  ///< Target from arrival.
  std::chrono::milliseconds between_tokens{};
  std::chrono::milliseconds max_wait{};  ///< Longest stay in the queue.
  bool repeatable = true;     ///< False: runs at most once, needs a lane.
  std::uint32_t running = 0;  ///< Cap on this node; 0 is none.
  std::uint32_t waiting = 0;  ///< Cap on this node; 0 is none.
};

/// `[account] NAME = classes=a,b running=N waiting=N share=N`
struct Account {
  RuleSource source;
  std::vector<ClassHandle> classes;
  std::uint32_t running = 0;  ///< Cap on this node; 0 is none.
  std::uint32_t waiting = 0;  ///< Cap on this node; 0 is none.
  std::uint32_t share = 1;    ///< Weight among the accounts of a class.
};

/// `[endpoint] NAME = address=IP:port zone=Z serves=a,b bears=16
/// cold_max_in_flight=2 fencing=honoured|ignored holds=2 leaving=no`
struct Endpoint {
  RuleSource source;
  std::string address;  ///< `IP:port`.
  ZoneHandle zone;
  std::vector<TargetHandle> serves;
  std::uint32_t max_in_flight = 1;  ///< Requests in flight when warm.
  std::uint32_t cold_max_in_flight =
      1;  ///< Requests in flight just after a start.
  std::uint32_t max_loaded_models = 1;  ///< Models in memory at once.
  bool honours_fencing = false;
  bool leaving = false;  ///< Receives no new work.
};

/// `[node] NAME = callers=IP:port peers=IP:port zone=Z leaving=no`
struct Node {
  RuleSource source;
  std::string caller_address;
  std::string peer_address;
  ZoneHandle zone;
  bool leaving = false;
};

/// `[headers] account = X-Client-Account ; ...`: which request headers carry
/// what the rules decide by.
struct CallerHeaders {
  std::string account = "X-Client-Account";
  std::string cls = "X-Request-Class";
  std::string timeout = "X-Request-Timeout";  ///< Such as `5s`.
};

/// Rows by name, those of gone names included.
using NameIndex = std::map<std::string, std::uint32_t, std::less<>>;

/// One version of the rules, checked whole. Immutable once made; vectors are
/// indexed by handle and keep the rows of names that are gone.
struct Rules {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;  ///< Hash of the text.
  std::string text;          ///< As published, to be passed on.
  CallerHeaders headers;
  std::vector<Zone> zones;
  std::vector<Target> targets;
  std::vector<Class> classes;
  std::vector<Account> accounts;
  std::vector<Endpoint> endpoints;
  std::vector<Node> nodes;
  NameIndex zone_names;
  NameIndex target_names;
  NameIndex class_names;
  NameIndex account_names;
  NameIndex endpoint_names;
  NameIndex node_names;
};

/// One version of the rules, shared by all that read it.
using RulesPtr = std::shared_ptr<const Rules>;

/// One fault in a document, and how to mend it.
struct ValidationError {
  std::string file;
  std::uint32_t line = 0;
  std::string what;
  std::string hint;
};

/// Reads and checks a whole document. Names that stood in `previous` (may be
/// null) keep their handles. On failure `faults`, when given, gets every fault
/// and the error describes the first.
kernel::Result<RulesPtr> ReadRules(
    const std::string& text, std::string_view file, const Rules* previous,
    std::vector<ValidationError>* faults = nullptr);

/// The zone that the rules name now; not valid when none has the name.
ZoneHandle FindZone(const Rules& rules, std::string_view name);
/// The same for a model or a service.
TargetHandle FindTarget(const Rules& rules, std::string_view name);
/// The same for a class.
ClassHandle FindClass(const Rules& rules, std::string_view name);
/// The same for a client account.
AccountHandle FindAccount(const Rules& rules, std::string_view name);
/// The same for an endpoint.
EndpointHandle FindEndpoint(const Rules& rules, std::string_view name);
/// The same for a node.
NodeHandle FindNode(const Rules& rules, std::string_view name);

/// True when `account` may use `cls`.
bool Allows(const Account& account, ClassHandle cls);
/// True when `endpoint` may serve `target`.
bool Serves(const Endpoint& endpoint, TargetHandle target);

/// One thing that a successor document changes, and what that will do.
struct Change {
  std::uint32_t line = 0;  ///< In the successor; 0 for a removed rule.
  std::string what;
  std::string effect;
};

/// Compares `next` with `current`. Fails with `kConflict` when the version does
/// not rise.
kernel::Result<std::vector<Change>> CompareRules(const Rules& current,
                                                 const Rules& next);

/// Which rules decide a request, in words for operators: one line per rule with
/// file line and who asked for it.
kernel::Result<std::string> ExplainRequest(const Rules& rules,
                                           std::string_view account,
                                           std::string_view cls,
                                           std::string_view target);

}  // namespace egretladder::rules
