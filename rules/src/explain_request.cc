// Explains to operators which rules apply to a request.
#include <sstream>

#include "egretladder/rules/rules.h"

namespace egretladder::rules {
namespace {

/// Formats the end of a line, such as ` (line 12, asked by Hanna)`.
std::string FormatSource(const RuleSource& source) {
  return " (line " + std::to_string(source.line) + ", asked by " +
         source.requested_by + ")\n";
}

kernel::Error NotFoundError(const char* kind, std::string_view name) {
  return kernel::MakeError(kernel::ErrorCode::kNotFound, "explain request",
                           std::string(kind) + " '" + std::string(name) + "'",
                           "no rule in force declares it; calls that name it "
                           "are refused");
}

void WriteLimit(std::ostream& out, const char* noun, std::uint32_t limit) {
  if (limit > 0) out << ", at most " << limit << ' ' << noun << " on each node";
}

void ExplainAccount(std::ostream& out, const Account& account) {
  out << "account '" << account.source.name << "': share " << account.share
      << " among the accounts of a class";
  WriteLimit(out, "running", account.running);
  WriteLimit(out, "waiting", account.waiting);
  out << FormatSource(account.source);
}

void ExplainClass(std::ostream& out, const Class& cls) {
  out << "class '" << cls.source.name << "': tier " << int{cls.tier}
      << ", first token within " << cls.first_token.count() << "ms";
  if (cls.between_tokens.count() > 0) {
    out << ", then every " << cls.between_tokens.count() << "ms";
  }
  out << ", waits " << cls.max_wait.count() << "ms at most";
  WriteLimit(out, "running", cls.running);
  WriteLimit(out, "waiting", cls.waiting);
  out << (cls.repeatable ? "; may be run again after a failure"
                         : "; runs at most once, needs a lane and an "
                           "idempotency key")
      << FormatSource(cls.source);
}

void ExplainTarget(std::ostream& out, const Rules& rules,
                   const Target& target) {
  if (target.kind == TargetKind::kService) {
    out << "service '" << target.source.name << "'";
  } else {
    out << "model '" << target.source.name << "': held by " << target.copies
        << " endpoints or more";
    if (IsValid(target.base)) {
      out << ", an adapter of '" << rules.targets[target.base.idx].source.name
          << "'";
    }
  }
  out << FormatSource(target.source);
}

/// Returns true if the endpoint accepts the request.
bool ExplainEndpoint(std::ostream& out, const Rules& rules,
                     const Endpoint& endpoint) {
  const Zone& zone = rules.zones[endpoint.zone.idx];
  out << "endpoint '" << endpoint.source.name << "' in zone '"
      << zone.source.name << "': ";
  if (zone.out) {
    out << "no new work, the zone is out" << FormatSource(zone.source);
    return false;
  }
  if (endpoint.leaving) {
    out << "no new work, it leaves" << FormatSource(endpoint.source);
    return false;
  }
  out << "takes it, bears " << endpoint.max_in_flight << ", cold "
      << endpoint.cold_max_in_flight << FormatSource(endpoint.source);
  return true;
}

void ExplainEndpoints(std::ostream& out, const Rules& rules,
                      TargetHandle target) {
  bool has_available_endpoint = false;
  for (const Endpoint& endpoint : rules.endpoints) {
    if (!endpoint.source.present || !Serves(endpoint, target)) continue;
    has_available_endpoint |= ExplainEndpoint(out, rules, endpoint);
  }
  if (!has_available_endpoint) {
    out << "refused: no endpoint that serves it takes new work\n";
    return;
  }
  out << "none of these gets calls from a node to which it has answered that "
         "it leaves, or that it wants none for some time\n";
}

}  // namespace

kernel::Result<std::string> ExplainRequest(const Rules& rules,
                                           std::string_view account,
                                           std::string_view cls,
                                           std::string_view target) {
  const AccountHandle account_handle = FindAccount(rules, account);
  if (!IsValid(account_handle)) return NotFoundError("account", account);
  const ClassHandle class_handle = FindClass(rules, cls);
  if (!IsValid(class_handle)) return NotFoundError("class", cls);
  const TargetHandle target_handle = FindTarget(rules, target);
  if (!IsValid(target_handle)) return NotFoundError("model or service", target);
  std::ostringstream out;
  out << "version " << rules.version << '\n';
  const Account& account_rule = rules.accounts[account_handle.idx];
  ExplainAccount(out, account_rule);
  if (!Allows(account_rule, class_handle)) {
    out << "refused: the account's rule does not list class '" << cls << "'\n";
    return out.str();
  }
  ExplainClass(out, rules.classes[class_handle.idx]);
  ExplainTarget(out, rules, rules.targets[target_handle.idx]);
  ExplainEndpoints(out, rules, target_handle);
  return out.str();
}

}  // namespace egretladder::rules
