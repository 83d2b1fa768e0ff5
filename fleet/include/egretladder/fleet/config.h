// Which version of the rules is in force, and when to read for a newer one.
//
// The highest version wins for ever, wherever it was heard first; a document is
// checked whole and taken whole. Source: xDS (a whole version is taken or
// refused).
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

/// Reads of one document of the platform: when the next is due.
struct ReadSchedule {
  bool reading = false;
  Time began{};
  Time next{};
  Time answered{};  ///< Last answer that could be read.
  bool ever_answered = false;
  std::uint32_t failures = 0;  ///< In a row.
};

/// The rules in force on one node, and the last version it refused.
struct ConfigState {
  rules::RulesPtr rules;
  Time since{};
  /// Of a starting node that asks peers first: read, not yet in force.
  std::string held_document;
  bool has_held_document = false;
  Time hold_until{};
  std::uint64_t refused_version = 0;
  std::uint64_t refused_digest = 0;
  std::string refused_why;
  ReadSchedule read;
  Time asked{};  ///< A peer, for its version.
};

/// What became of a document.
enum class DocumentResult : std::uint8_t {
  kInForce,
  kNothingNew,    ///< The version in force, or an older one.
  kRefused,       ///< Faulty, or other content under the version in force.
  kRefusedAgain,  ///< As before; already told.
};

/// Checks `text` whole and takes it when its version is above the one in force.
DocumentResult ApplyDocument(ConfigState& state, const std::string& text,
                             std::string_view source, Time now);

/// A peer has the version in force with other content: kept as it is here.
/// Returns true when that is news.
bool CheckDigest(ConfigState& state, std::uint64_t version,
                 std::uint64_t digest);

/// How a node reads the platform's documents.
enum class ReadPace : std::uint8_t {
  kWatch,  ///< One of the few readers of its zone.
  kRare,   ///< Hears from peers; reads rarely in case they are all wrong.
  kAlone,  ///< Hears no peer: reads often, without a watch.
};

/// True when a read is due; marks it as begun.
bool BeginRead(ReadSchedule& plan, Time now);
/// An answer came, or none (`could_read` false). `every`: pause until the next
/// one when all is well. Failures double the pause, with jitter, so that a
/// service which comes back isn't met by the whole fleet at once.
void EndRead(ReadSchedule& plan, bool could_read,
             std::chrono::milliseconds every, kernel::Random& random, Time now);

/// The pause between two reads of the rules that bring nothing new.
std::chrono::milliseconds RulesReadInterval(ReadPace pace,
                                            kernel::Random& random);
/// The same for the VM list.
std::chrono::milliseconds VmListReadInterval(ReadPace pace,
                                             kernel::Random& random);

}  // namespace egretladder::fleet
