// Tracks which version of the rules is in force, and schedules the reads for
// newer ones.
//
// The highest version always wins, whichever source it came from. A document is
// validated and applied as a whole. Source: xDS (a version is accepted or
// rejected as a whole).
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "egretladder/fleet/limits.h"
#include "egretladder/kernel/hash.h"
#include "egretladder/kernel/time.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;

/// Schedule of the reads of one document of the platform.
struct ReadSchedule {
  bool reading = false;
  Time began{};
  Time next{};
  Time answered{};  ///< Time of the last successful read.
  bool ever_answered = false;
  std::uint32_t failures = 0;  ///< Number of consecutive failures.
};

/// The rules in force on one node, and the last version that it refused.
struct ConfigState {
  rules::RulesPtr rules;
  Time since{};
  /// Document that a starting node has read but doesn't apply before it has
  /// asked its peers.
  std::string held_document;
  bool has_held_document = false;
  Time hold_until{};
  std::uint64_t refused_version = 0;
  std::uint64_t refused_digest = 0;
  std::string refused_why;
  ReadSchedule read;
  Time asked{};  ///< When a peer was last asked for its version.
};

/// Result of applying a document.
enum class DocumentResult : std::uint8_t {
  kInForce,
  kNothingNew,    ///< The document is the version in force or an older one.
  kRefused,       ///< The document is invalid, or has other content under the
                  ///< version in force.
  kRefusedAgain,  ///< The document was refused before and the refusal was
                  ///< reported.
};

/// Validates the whole of `text` and puts it in force if its version is above
/// the one in force. `source` names its origin in error messages.
DocumentResult ApplyDocument(ConfigState& state, const std::string& text,
                             std::string_view source, Time now);

/// Compares the digest of a peer's rules with the local one. Records a refusal
/// if the peer has the version in force with other content; the local content
/// stays. Returns true if this conflict was not known before.
bool CheckDigest(ConfigState& state, std::uint64_t version,
                 std::uint64_t digest);

/// How often a node reads the platform's documents.
enum class ReadPace : std::uint8_t {
  kWatch,  ///< The node is one of the readers of its zone and keeps a watch
           ///< open.
  kRare,   ///< The node hears from peers. It reads rarely, in case all of them
           ///< are wrong.
  kAlone,  ///< The node hears no peer. It reads often, without a watch.
};

/// Returns true and marks a read as begun if one is due.
bool BeginRead(ReadSchedule& schedule, Time now);
/// Records the end of a read and schedules the next one after `interval`. If
/// `could_read` is false, the pause grows exponentially with jitter instead, so
/// that the whole fleet doesn't send requests at once when a service recovers.
void EndRead(ReadSchedule& schedule, bool could_read,
             std::chrono::milliseconds interval, kernel::Random& random,
             Time now);

/// Returns the interval between two reads of the rules that bring nothing new.
std::chrono::milliseconds RulesReadInterval(ReadPace pace,
                                            kernel::Random& random);
/// Returns the interval between two reads of the VM list.
std::chrono::milliseconds VmListReadInterval(ReadPace pace,
                                             kernel::Random& random);

}  // namespace egretladder::fleet
