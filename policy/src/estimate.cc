#include "egretladder/policy/estimate.h"

#include <algorithm>
#include <cmath>

namespace egretladder::policy {
namespace {

double Fading(double estimate_window_completions) {
  return 1.0 - 1.0 / std::max(2.0, estimate_window_completions);
}

double SlotSecondsAt(const WorkSeen& seen, kernel::Time now) {
  const double passed = Seconds(now - seen.until).count();
  return seen.slot_seconds + std::max(0.0, passed) * seen.running;
}

void CountUpTo(WorkSeen& seen, kernel::Time now) {
  seen.slot_seconds = SlotSecondsAt(seen, now);
  seen.until = now;
}

}  // namespace

void OnWorkStarted(WorkSeen& seen, kernel::Time now) {
  CountUpTo(seen, now);
  ++seen.running;
}

void OnFirstTokenSeen(WorkSeen& seen, Seconds after_dispatch,
                      double estimate_window_completions) {
  const double fading = Fading(estimate_window_completions);
  seen.first_token_seconds =
      seen.first_token_seconds * fading + after_dispatch.count();
  seen.first_token_squares = seen.first_token_squares * fading +
                             after_dispatch.count() * after_dispatch.count();
  seen.first_tokens = seen.first_tokens * fading + 1;
}

void OnWorkEnded(WorkSeen& seen, std::uint32_t tokens,
                 double estimate_window_completions, kernel::Time now) {
  CountUpTo(seen, now);
  if (seen.running > 0) --seen.running;
  const double fading = Fading(estimate_window_completions);
  seen.slot_seconds *= fading;
  seen.ends = seen.ends * fading + 1;
  seen.tokens = seen.tokens * fading + tokens;
}

void OnWorkBroken(WorkSeen& seen, Seconds spent, kernel::Time now) {
  CountUpTo(seen, now);
  if (seen.running > 0) --seen.running;
  seen.slot_seconds = std::max(0.0, seen.slot_seconds - spent.count());
}

Seconds MeanSlotTime(const WorkSeen& seen, kernel::Time now) {
  const double slot_seconds = SlotSecondsAt(seen, now);
  double work = seen.ends;
  if (seen.ends < seen.running) work += seen.running;
  return Seconds(work > 0 ? slot_seconds / work : 0);
}

Seconds MeanTimeToFirstToken(const WorkSeen& seen) {
  if (seen.first_tokens <= 0) return Seconds(0);
  return Seconds(seen.first_token_seconds / seen.first_tokens);
}

Seconds LongFirstToken(const WorkSeen& seen) {
  if (seen.first_tokens <= 0) return Seconds(0);
  const double mean = seen.first_token_seconds / seen.first_tokens;
  const double square = seen.first_token_squares / seen.first_tokens;
  return Seconds(mean + 2 * std::sqrt(std::max(0.0, square - mean * mean)));
}

double MeanTokens(const WorkSeen& seen) {
  return seen.ends > 0 ? seen.tokens / seen.ends : 0;
}

}  // namespace egretladder::policy
