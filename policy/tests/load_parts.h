// The state of a simulation: engines, scheduled events and requests.
#pragma once

#include <cstdint>
#include <list>

#include "egretladder/policy/slots.h"
#include "load_model.h"

namespace egretladder::policy::load {

/// The actual state of an engine, which its reports may not show.
struct Engine {
  std::uint32_t in_flight = 0;
  std::uint32_t other_nodes_in_flight = 0;  ///< Requests of other nodes.
  double slowdown = 1;                      ///< Factor on all service times.
  std::uint32_t answers_until_warm = 0;     ///< 0: warm.
  std::uint64_t boot = 1;
  bool takes_work = true;           ///< By the rules and its availability.
  std::uint32_t leased_slots = 0;   ///< Slots of the simulated node.
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

/// A scheduled event. Events of the same time happen in the order of `number`.
struct Event {
  Time at{};
  std::uint64_t number = 0;
  EventKind kind = EventKind::kTick;
  std::uint64_t id = 0;       ///< The request, or the index of a change.
  std::uint32_t attempt = 0;  ///< Outdated if the request has a later one.
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

/// A request in the simulation.
struct SimRequest {
  PlannedRequest planned;
  bool waiting = false;
  bool running = false;
  bool ended = false;
  bool has_first_token = false;
  bool by_aging_quota = false;
  std::uint32_t attempt = 1;
  std::uint32_t engine = 0;
  std::uint32_t reported_tokens = 0;
  Time started{};
  Time first_token_at{};
};

}  // namespace egretladder::policy::load
