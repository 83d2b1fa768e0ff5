// The published rules: an INI document with one rule per line. Each line ends
// with a comment that names who requested the rule.
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

/// The service tier with the highest priority.
inline constexpr std::uint8_t kTopTier = 1;
/// The service tier with the lowest priority. Tiers are numbered without gaps.
inline constexpr std::uint8_t kBottomTier = 5;

/// The name and origin of a rule.
struct RuleSource {
  std::string name;
  std::string requested_by;  ///< The comment of the line; never empty.
  std::uint32_t line = 0;    ///< Line number in the document.
  bool present = false;      ///< False if this version doesn't declare it.
};

/// An availability zone: `[zone] NAME = region=R out=no`.
struct Zone {
  RuleSource source;
  std::string region;
  bool out = false;  ///< Taken out by operators: receives no new work.
};

/// The kinds of target. The router loads models onto endpoints; services run
/// where the rules say.
enum class TargetKind : std::uint8_t { kModel, kService };

/// A model or service: `[model] NAME = base=M copies=N` or `[service] NAME =`.
/// An adapter is a model with a base model.
struct Target {
  RuleSource source;
  TargetKind kind = TargetKind::kModel;
  TargetHandle base;         ///< Base model of an adapter, else not valid.
  std::uint32_t copies = 1;  ///< Endpoints that should have it loaded.
};

/// A request class: `[class] NAME = tier=1 first_token=1800ms
/// between_tokens=43ms max_wait=1m repeatable=yes running=N waiting=N`.
struct Class {
  RuleSource source;
  std::uint8_t tier = kBottomTier;
  /// Target for the time from arrival to the first token.
  std::chrono::milliseconds first_token{};
  /// Target for the time between two tokens; 0 if there is none.
  std::chrono::milliseconds between_tokens{};
  std::chrono::milliseconds max_wait{};  ///< Maximum time in the queue.
  /// False if a request runs at most once, which requires a lane.
  bool repeatable = true;
  std::uint32_t running = 0;  ///< Maximum running per node; 0: no limit.
  std::uint32_t waiting = 0;  ///< Maximum queued per node; 0: no limit.
};

/// A client account: `[account] NAME = classes=a,b running=N waiting=N
/// share=N`.
struct Account {
  RuleSource source;
  std::vector<ClassHandle> classes;  ///< Classes that it may use.
  std::uint32_t running = 0;         ///< Maximum running per node; 0: no limit.
  std::uint32_t waiting = 0;         ///< Maximum queued per node; 0: no limit.
  std::uint32_t share = 1;           ///< Weight among the accounts of a class.
};

/// An endpoint: `[endpoint] NAME = address=IP:port zone=Z serves=a,b bears=16
/// cold_bears=2 fencing=honoured|ignored holds=2 leaving=no`.
struct Endpoint {
  RuleSource source;
  std::string address;  ///< `IP:port`.
  ZoneHandle zone;
  std::vector<TargetHandle> serves;  ///< Models and services it may serve.
  /// Maximum number of requests in flight once it is warm (`bears`).
  std::uint32_t max_in_flight = 1;
  /// Maximum number of requests in flight right after a start (`cold_bears`).
  std::uint32_t cold_max_in_flight = 1;
  /// Maximum number of models in memory at once (`holds`).
  std::uint32_t max_loaded_models = 1;
  /// True if it rejects orders with an outdated fencing number.
  bool honours_fencing = false;
  bool leaving = false;  ///< Receives no new work.
};

/// A node of the router: `[node] NAME = callers=IP:port peers=IP:port zone=Z
/// leaving=no`.
struct Node {
  RuleSource source;
  std::string caller_address;  ///< `IP:port` for callers.
  std::string peer_address;    ///< `IP:port` for other nodes.
  ZoneHandle zone;
  bool leaving = false;  ///< Callers are no longer sent to it.
};

/// The names of the request headers that carry the account, class and timeout:
/// `[headers] account = X-Client-Account`.
struct CallerHeaders {
  std::string account = "X-Client-Account";
  std::string cls = "X-Request-Class";
  std::string timeout = "X-Request-Timeout";  ///< Value such as `5s`.
};

/// Maps a name to its row, including names that are no longer declared.
using NameIndex = std::map<std::string, std::uint32_t, std::less<>>;

/// One validated version of the rules. Immutable after construction. The
/// vectors are indexed by handle, and keep the rows of names that this version
/// no longer declares.
struct Rules {
  std::uint64_t version = 0;
  std::uint64_t digest = 0;  ///< Hash of `text`.
  std::string text;          ///< As published, sent to other nodes.
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

/// A version of the rules, shared by its readers.
using RulesPtr = std::shared_ptr<const Rules>;

/// An error in a document.
struct ValidationError {
  std::string file;
  std::uint32_t line = 0;
  std::string what;
  std::string hint;  ///< How to correct the error.
};

/// Parses and validates a document. Names that are in `previous`, which may be
/// null, keep their handles. `errors`, if given, receives all errors, ordered
/// by line. Returns `kInvalidInput` with the first of them.
kernel::Result<RulesPtr> ReadRules(
    const std::string& text, std::string_view file, const Rules* previous,
    std::vector<ValidationError>* errors = nullptr);

/// Returns the zone of this name; not valid if this version declares none.
ZoneHandle FindZone(const Rules& rules, std::string_view name);
/// Returns the model or service of this name; not valid if this version
/// declares none.
TargetHandle FindTarget(const Rules& rules, std::string_view name);
/// Returns the class of this name; not valid if this version declares none.
ClassHandle FindClass(const Rules& rules, std::string_view name);
/// Returns the client account of this name; not valid if this version declares
/// none.
AccountHandle FindAccount(const Rules& rules, std::string_view name);
/// Returns the endpoint of this name; not valid if this version declares none.
EndpointHandle FindEndpoint(const Rules& rules, std::string_view name);
/// Returns the node of this name; not valid if this version declares none.
NodeHandle FindNode(const Rules& rules, std::string_view name);

/// Returns true if `account` may use `cls`.
bool Allows(const Account& account, ClassHandle cls);
/// Returns true if `endpoint` may serve `target`.
bool Serves(const Endpoint& endpoint, TargetHandle target);

/// A difference between two versions of the rules and its effect.
struct Change {
  std::uint32_t line = 0;  ///< In the new version; 0: removed or a header.
  std::string what;
  std::string effect;
};

/// Returns the changes from `current` to `next`, or `kConflict` if the version
/// of `next` is not higher.
kernel::Result<std::vector<Change>> CompareRules(const Rules& current,
                                                 const Rules& next);

/// Explains to operators which rules apply to a request: one line per rule,
/// with its line in the document and its requester. Returns `kNotFound` for an
/// undeclared account, class or target.
kernel::Result<std::string> ExplainRequest(const Rules& rules,
                                           std::string_view account,
                                           std::string_view cls,
                                           std::string_view target);

}  // namespace egretladder::rules
