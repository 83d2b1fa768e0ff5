#include "egretladder/fleet/config.h"

#include <algorithm>
#include <charconv>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/log.h"

namespace egretladder::fleet {
namespace {

/// Maximum pause after a watch was answered. It only prevents nodes from
/// reading in lockstep.
constexpr std::chrono::milliseconds kMaxWatchPause{100};

/// Returns the version that a refused document states; 0 if it can't be read.
std::uint64_t ClaimedVersion(const std::string& text) {
  const auto entries = kernel::ReadIni(text, "rules");
  if (!entries) return 0;
  for (const kernel::IniEntry& entry : entries.value()) {
    if (entry.section != "document" || entry.key != "version") continue;
    std::uint64_t version = 0;
    const char* end = entry.value.data() + entry.value.size();
    std::from_chars(entry.value.data(), end, version);
    return version;
  }
  return 0;
}

DocumentResult Refuse(ConfigState& state, std::uint64_t version,
                      std::uint64_t digest, std::string why) {
  if (state.refused_version == version && state.refused_digest == digest) {
    return DocumentResult::kRefusedAgain;
  }
  state.refused_version = version;
  state.refused_digest = digest;
  state.refused_why = std::move(why);
  kernel::Log(kernel::LogPart::kFleet, kernel::LogLevel::kError,
              "Refused rules version " + std::to_string(version) + ": " +
                  state.refused_why + ".");
  return DocumentResult::kRefused;
}

constexpr const char* kOtherContent =
    "another document has the version in force with other content; the one "
    "taken first stays, publish a higher version";

std::chrono::milliseconds Jittered(std::chrono::milliseconds pause,
                                   kernel::Random& random) {
  const double factor = 0.5 + kernel::RandomFraction(random);
  return std::chrono::duration_cast<std::chrono::milliseconds>(pause * factor);
}

}  // namespace

DocumentResult ApplyDocument(ConfigState& state, const std::string& text,
                             std::string_view source, Time now) {
  const std::uint64_t digest = kernel::HashBytes(text);
  if (state.rules != nullptr && state.rules->digest == digest) {
    return DocumentResult::kNothingNew;
  }
  auto read = rules::ReadRules(text, source, state.rules.get());
  if (!read) {
    return Refuse(state, ClaimedVersion(text), digest,
                  kernel::Describe(read.error()));
  }
  rules::RulesPtr next = std::move(read).value();
  const std::uint64_t in_force =
      state.rules == nullptr ? 0 : state.rules->version;
  if (next->version < in_force) return DocumentResult::kNothingNew;
  if (next->version == in_force) {
    return Refuse(state, next->version, digest, kOtherContent);
  }
  state.rules = std::move(next);
  state.since = now;
  state.held_document.clear();
  state.has_held_document = false;
  return DocumentResult::kInForce;
}

bool CheckDigest(ConfigState& state, std::uint64_t version,
                 std::uint64_t digest) {
  if (state.rules == nullptr || version != state.rules->version ||
      digest == state.rules->digest) {
    return false;
  }
  return Refuse(state, version, digest, kOtherContent) ==
         DocumentResult::kRefused;
}

bool BeginRead(ReadSchedule& schedule, Time now) {
  if (schedule.reading && now - schedule.began < kReadTimeout) return false;
  if (now < schedule.next) return false;
  schedule.reading = true;
  schedule.began = now;
  return true;
}

void EndRead(ReadSchedule& schedule, bool could_read,
             std::chrono::milliseconds interval, kernel::Random& random,
             Time now) {
  schedule.reading = false;
  if (could_read) {
    schedule.failures = 0;
    schedule.answered = now;
    schedule.ever_answered = true;
    schedule.next = now + interval;
    return;
  }
  const std::uint32_t doublings = std::min(schedule.failures, 5U);
  ++schedule.failures;
  const auto pause =
      std::min(kInitialReadBackoff * (1U << doublings), kMaxReadBackoff);
  schedule.next =
      now + std::max(Jittered(pause, random), kInitialReadBackoff / 2);
}

std::chrono::milliseconds RulesReadInterval(ReadPace pace,
                                            kernel::Random& random) {
  switch (pace) {
    case ReadPace::kWatch:
      return Jittered(kMaxWatchPause, random);
    case ReadPace::kAlone:
      return Jittered(kVmListInterval, random);
    case ReadPace::kRare:
      break;
  }
  return Jittered(kRareReadInterval, random);
}

std::chrono::milliseconds VmListReadInterval(ReadPace pace,
                                             kernel::Random& random) {
  return Jittered(pace == ReadPace::kRare
                      ? std::chrono::milliseconds(kRareReadInterval)
                      : kVmListInterval,
                  random);
}

}  // namespace egretladder::fleet
