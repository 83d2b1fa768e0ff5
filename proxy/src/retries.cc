// Takes retries of calls from the retry budget of their service.
#include "state_p.h"

namespace egretladder::proxy {

bool TryReserveRetry(Proxy& proxy, Call& call) {
  if (call.retry_reserved) return true;
  call.retry_reserved = routing::TryReserveRetry(
      proxy.retry_budgets[call.service->name], proxy.options.retries,
      MakeRetryBudgetFleet(proxy), NowOf(proxy));
  return call.retry_reserved;
}

bool HasRetryForSample(Proxy& proxy, const Call& call) {
  return routing::HasRetryForSample(
      proxy.retry_budgets[call.service->name], proxy.options.retries,
      MakeRetryBudgetFleet(proxy), routing::kRetriesLeftBySamples,
      NowOf(proxy));
}

void OnRetrySent(Proxy& proxy, Call& call) {
  if (!std::exchange(call.retry_reserved, false)) return;
  routing::OnReservedRetrySent(proxy.retry_budgets[call.service->name],
                               proxy.options.retries, NowOf(proxy));
  IncrementCounter(proxy, "egretladder_retries_total",
                   "Arrivals at endpoints beyond the first of each request, by "
                   "the outcome that they follow.",
                   "service=\"" + call.service->name + "\",after=\"" +
                       NameOfRetryCause(call) + "\"");
}

void ReleaseRetry(Proxy& proxy, Call& call) {
  if (!std::exchange(call.retry_reserved, false)) return;
  routing::ReleaseRetry(proxy.retry_budgets[call.service->name]);
}

const char* NameOfRetryCause(const Call& call) {
  return call.retry_cause ? routing::NameOf(*call.retry_cause) : "-";
}

}  // namespace egretladder::proxy
