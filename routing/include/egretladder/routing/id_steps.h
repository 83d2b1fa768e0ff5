// How the ids of a service's streams rise: by one an event, so that a number
// that is left out is a missing event, or not, as where an event holds several
// tokens.
//
// Whoever answers may be faulty. Each process has one vote of its own, by the
// steps within its answers, so that one which leaves events out can't decide
// for its service that nothing is missing. Its vote ends with its process, or
// once it has risen by one for long enough.
//
// Steps by one are remembered beyond their processes, so that a release that
// replaces those doesn't end what they have shown. Only a majority of the
// processes that live takes that away. Another version of the software may
// number events otherwise: votes and memory are of one version each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace egretladder::routing {

struct EndpointSet;
/// Hash of a version of an endpoint's software; see software_version.h.
using SoftwareVersion = std::uint64_t;

/// How the id of an event relates to the one before it in the same answer.
enum class IdStep : std::uint8_t {
  kByOne,
  kLeavesOut,  ///< Numbers between the two are left out.
};

/// How the ids of one process's streams rose within its answers to this node.
struct IdSteps {
  /// Steps by one since a number was last left out, `kMaxRememberedSteps` at
  /// most.
  std::uint32_t by_one = 0;
  bool leaves_out = false;  ///< One was left out within that many steps.
};

/// Steps by one after which a process's last number left out is forgotten.
inline constexpr std::uint32_t kMaxRememberedSteps = 4096;
/// Steps after which a process has a vote.
inline constexpr std::uint32_t kMinStepsToVote = 8;
/// Steps by one, over all processes, after which ids count as rising by one.
/// Where an event holds several tokens, fewer show that.
inline constexpr std::uint64_t kMinConsecutiveSteps = 32;
/// Steps by one after which a number left out within an answer, where no other
/// fault shows, counts as a missing event too.
inline constexpr std::uint64_t kMinFirmSteps = 256;

/// Steps by one of a single process that are remembered, so that many processes
/// must have shown what outlives them.
inline constexpr std::uint32_t kMaxRememberedStepsOfOne = 64;
/// Processes that must have left numbers out, if there are as many, before the
/// service counts as leaving them out.
inline constexpr std::size_t kMinLeavingOut = 2;

/// Records a step. Returns true if the process's vote has changed.
bool OnIdStep(IdSteps& steps, IdStep step);

/// What the processes of a service at one version have shown, also those that
/// have ended.
struct IdMemory {
  /// Steps by one, `kMinFirmSteps` and `kMaxRememberedStepsOfOne` of each
  /// process at most.
  std::uint64_t steps = 0;
};

/// Remembers the last step of a process.
void RememberStep(IdMemory& memory, const IdSteps& steps);

/// The votes of a service's processes.
struct IdVotes {
  std::size_t processes = 0;   ///< All, also those without a vote.
  std::size_t by_one = 0;      ///< Processes whose ids rise by one.
  std::size_t leaves_out = 0;  ///< Processes that left numbers out.
  std::uint64_t steps = 0;     ///< Of all processes that left none out.
};

/// Adds the steps of a process, and its vote if it has one.
void AddVote(IdVotes& votes, const IdSteps& steps);
/// Returns the votes of all processes of the service at that version that are
/// known now.
IdVotes CountIdVotes(const EndpointSet& set, const std::string& service,
                     SoftwareVersion version);

/// How the ids of a service's streams rise.
enum class IdRise : std::uint8_t {
  kUnknown,
  kLeavesOut,    ///< Numbers that are left out show nothing.
  kByOne,        ///< One left out where a run goes on is a missing event.
  kFirmlyByOne,  ///< So is one left out within a run.
};
/// Returns the name in logs.
const char* NameOf(IdRise rise);

/// Returns true if a number that is left out where a run goes on is a missing
/// event.
bool RisesByOne(IdRise rise);

/// Decides by the majority of the processes. If they are divided evenly, ids
/// count as rising by one: a stream that loses an attempt in vain goes on, and
/// an event that is missing doesn't come back. One process among others doesn't
/// decide that numbers are left out, though no other has a vote yet.
IdRise JudgeIdRise(const IdVotes& votes, const IdMemory& memory = {});

}  // namespace egretladder::routing
