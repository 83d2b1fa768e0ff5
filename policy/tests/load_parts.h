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
  std::uint32_t other_nodes_in_flight = 0;  ///< In flight by other nodes.
  double slowdown = 1;
  std::uint32_t answers_until_warm = 0;  ///< Answers until it is warm.
  std::uint64_t boot = 1;
  bool takes_work = true;  ///< By rules and availability.
  std::uint32_t leased_slots = 0;
  std::list<std::uint64_t> cached;  ///< Prefixes, newest first.
  SlotState slots;
  SlotEvidence evidence;
};

enum class EventKind : std::uint8_t {
  kArrival,
  kFirstToken,
  kTokens,
  kEnd,
  kRetry,
  kTick,
  kFleetUpdate,
  kPlannedChange,
};

struct Event {
  Time at{};
  std::uint64_t number = 0;
  EventKind kind = EventKind::kTick;
  std::uint64_t id = 0;
  std::uint32_t attempt = 0;
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

/// One request in the run.
struct SimRequest {
  PlannedRequest planned;
  bool waiting = false;
  bool running = false;
  bool ended = false;
  bool first_token = false;
  bool by_aging_quota = false;
  std::uint32_t attempt = 1;
  std::uint32_t engine = 0;
  std::uint32_t reported_tokens = 0;
  Time started{};
  Time first_token_at{};
};

}  // namespace egretladder::policy::load
