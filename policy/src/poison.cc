#include "egretladder/policy/poison.h"

#include <algorithm>

#include "egretladder/policy/limits.h"

namespace egretladder::policy {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

const CrashRecord* FindCrashRecord(const PoisonState& state,
                                   std::uint64_t fingerprint,
                                   kernel::Time now) {
  const auto it = state.crash_records.find(fingerprint);
  if (it == state.crash_records.end() || it->second.expires_at <= now)
    return nullptr;
  return &it->second;
}

// Makes room for a record: evicts expired records, or else the one that expires
// first.
void MakeRoom(PoisonState& state, kernel::Time now) {
  if (state.crash_records.size() < kMaxCrashRecords) return;
  std::erase_if(state.crash_records, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  if (state.crash_records.size() < kMaxCrashRecords) return;
  state.crash_records.erase(std::min_element(
      state.crash_records.begin(), state.crash_records.end(),
      [](const auto& left, const auto& right) {
        return left.second.expires_at < right.second.expires_at;
      }));
}

CrashRecord& GetCrashRecord(PoisonState& state, std::uint64_t fingerprint,
                            kernel::Time now) {
  if (!state.crash_records.contains(fingerprint)) MakeRoom(state, now);
  CrashRecord& record = state.crash_records[fingerprint];
  if (record.expires_at <= now) record = CrashRecord{};
  return record;
}

QuarantineNotice MakeNotice(std::uint64_t fingerprint,
                            const CrashRecord& record, kernel::Time now) {
  return {fingerprint, duration_cast<milliseconds>(record.expires_at - now),
          record.deaths};
}

}  // namespace

std::vector<QuarantineNotice> OnEndpointDied(
    PoisonState& state, const std::vector<std::uint64_t>& running,
    kernel::Time now) {
  std::vector<std::uint64_t> fingerprints = running;
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  std::erase(fingerprints, 0U);  // 0: no fingerprint.
  const auto suspects = std::count_if(
      fingerprints.begin(), fingerprints.end(), [&](std::uint64_t fingerprint) {
        return IsSuspect(state, fingerprint, now);
      });
  std::vector<QuarantineNotice> quarantined;
  for (const std::uint64_t fingerprint : fingerprints) {
    const bool is_suspect = IsSuspect(state, fingerprint, now);
    // The known suspect explains the death, so that no other body is blamed.
    if (suspects == 1 && !is_suspect) continue;
    CrashRecord& record = GetCrashRecord(state, fingerprint, now);
    if (record.quarantined) continue;
    const bool is_culprit = suspects == 1;
    record.deaths = is_culprit ? kDeathsBeforeQuarantine : std::uint8_t{1};
    record.quarantined = is_culprit;
    record.expires_at =
        now + (is_culprit ? kQuarantineDuration : kSuspectDuration);
    if (is_culprit) quarantined.push_back(MakeNotice(fingerprint, record, now));
  }
  return quarantined;
}

void ClearSuspect(PoisonState& state, std::uint64_t fingerprint) {
  state.crash_records.erase(fingerprint);
}

bool IsSuspect(const PoisonState& state, std::uint64_t fingerprint,
               kernel::Time now) {
  const CrashRecord* record = FindCrashRecord(state, fingerprint, now);
  return record != nullptr && !record->quarantined;
}

bool ApplyQuarantineNotice(PoisonState& state, const QuarantineNotice& notice,
                           kernel::Time now) {
  if (notice.left <= milliseconds(0) || notice.fingerprint == 0) return false;
  CrashRecord& record = GetCrashRecord(state, notice.fingerprint, now);
  if (record.quarantined) return false;
  const bool is_culprit = notice.deaths >= kDeathsBeforeQuarantine;
  record.deaths = std::max(record.deaths, notice.deaths);
  record.quarantined = is_culprit;
  const auto max_duration = is_culprit ? kQuarantineDuration : kSuspectDuration;
  record.expires_at =
      std::max(record.expires_at, now + std::min(notice.left, max_duration));
  return is_culprit;
}

bool IsQuarantined(const PoisonState& state, std::uint64_t fingerprint,
                   kernel::Time now) {
  const CrashRecord* record = FindCrashRecord(state, fingerprint, now);
  return record != nullptr && record->quarantined;
}

std::vector<QuarantineNotice> ListQuarantineNotices(const PoisonState& state,
                                                    kernel::Time now) {
  std::vector<QuarantineNotice> notices;
  for (const auto& [fingerprint, record] : state.crash_records) {
    if (record.expires_at > now)
      notices.push_back(MakeNotice(fingerprint, record, now));
  }
  return notices;
}

}  // namespace egretladder::policy
