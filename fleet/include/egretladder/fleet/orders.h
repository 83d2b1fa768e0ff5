// Orders to engines: which endpoint holds which models, and the next order that
// brings it there.
//
// Placement is a pure function of the rules, so two nodes that both believe
// they keep an endpoint give it the same order. docs/design/orders.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;

/// Models that each endpoint should hold, by endpoint handle.
using Placement = std::vector<std::vector<rules::TargetHandle>>;

/// Places `copies` of each model on endpoints that take work, serve it and have
/// room, spread over zones. The same on every node with the same version.
Placement PlaceModels(const rules::Rules& rules,
                      const std::vector<bool>& takes_work);

/// What an order asks an engine to do with a model.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order that the reports don't show as done yet.
struct OpenOrder {
  OrderKind kind = OrderKind::kLoad;
  rules::TargetHandle target;
  Time sent{};
};

/// What the keeper of one endpoint remembers of its orders.
struct EndpointOrders {
  Time kept_since{};
  Time changed{};  ///< When `loaded` last changed in a report.
  std::vector<rules::TargetHandle> loaded;
  std::map<rules::TargetHandle, Time> loaded_since;
  std::optional<OpenOrder> open;
};

/// The node's own part of the weight store's budget.
struct OrdersState {
  Placement placement;
  std::map<rules::EndpointHandle, EndpointOrders> kept;
  Time next_load{};
};

/// Takes a report's models into account; closes the order that they fulfil.
void ApplyLoadedModels(EndpointOrders& orders,
                       const std::vector<rules::TargetHandle>& loaded,
                       Time now);

/// What the next order depends on besides the endpoint's own orders.
struct OrderInput {
  std::vector<rules::TargetHandle> desired;
  std::uint32_t max_loaded_models = 1;
  bool honours_fencing = false;
  bool has_load_budget = false;  ///< The weight store's budget allows a load.
  /// Loaded models that may go: another endpoint, whose place it is to hold
  /// them, shows them loaded in a fresh report.
  std::vector<rules::TargetHandle> spare;
};

/// An order that is not sent yet.
struct NextOrder {
  OrderKind kind = OrderKind::kLoad;
  rules::TargetHandle target;
};

/// The order to give now, if any; the caller records it as `open`.
std::optional<NextOrder> DecideOrder(const EndpointOrders& orders,
                                     const OrderInput& input, Time now);

/// The pause between two loads of one node that keeps the whole fleet within
/// the weight store's budget.
std::chrono::milliseconds ModelLoadInterval(std::size_t nodes);

}  // namespace egretladder::fleet
