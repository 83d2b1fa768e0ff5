// The parts of a run: engines, steps in time and requests with their fate.
#pragma once

#include <cstdint>
#include <list>

#include "egretladder/policy/slots.h"
#include "load_model.h"

namespace egretladder::policy::load {

/// An engine as it is, whatever it reports.
struct Engine {
  std::uint32_t in_flight = 0;
  std::uint32_t others = 0;  ///< In flight by other nodes.
  double slow = 1;
  std::uint32_t cold_answers = 0;  ///< Answers until it is warm.
  std::uint64_t boot = 1;
  bool takes_work = true;  ///< By rules and availability.
  std::uint32_t leased = 0;
  std::list<std::uint64_t> cached;  ///< Prefixes, newest first.
  SlotState slots;
  SlotEvidence evidence;
};

enum class StepKind : std::uint8_t {
  kArrive,
  kFirst,
  kTokens,
  kEnd,
  kRetry,
  kTick,
  kFleet,
  kChange,
};

struct Step {
  Time at{};
  std::uint64_t number = 0;
  StepKind kind = StepKind::kTick;
  std::uint64_t id = 0;
  std::uint32_t attempt = 0;
  bool operator>(const Step& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

/// One request in the run.
struct Life {
  Planned planned;
  bool waiting = false;
  bool running = false;
  bool ended = false;
  bool first_token = false;
  bool trickle = false;
  std::uint32_t attempt = 1;
  std::uint32_t engine = 0;
  std::uint32_t told_tokens = 0;
  Time started{};
  Time first_at{};
};

}  // namespace egretladder::policy::load
