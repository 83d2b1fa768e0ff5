// Orders to engines: which endpoint holds which models, and the next order that
// leads there.
//
// Placement is a pure function of the rules, so two nodes that both consider
// themselves the keeper of an endpoint give it the same order. See
// docs/design/orders.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "egretladder/kernel/time.h"
#include "egretladder/rules/rules.h"

namespace egretladder::fleet {

using kernel::Time;

/// Models that each endpoint should hold, indexed by endpoint handle.
using Placement = std::vector<std::vector<rules::TargetHandle>>;

/// Places `copies` of each model on endpoints that take work, serve the model
/// and have room for it, spread over zones. Returns the same placement on every
/// node with the same rules version.
Placement PlaceModels(const rules::Rules& rules,
                      const std::vector<bool>& takes_work);

/// Type of an order to an engine.
enum class OrderKind : std::uint8_t { kLoad, kUnload };

/// An order that no report has confirmed yet.
struct OpenOrder {
  OrderKind kind = OrderKind::kLoad;
  rules::TargetHandle target;
  Time sent{};
};

/// State of the orders to one endpoint, held by its keeper.
struct EndpointOrders {
  Time kept_since{};
  Time changed{};  ///< Time when `loaded` last changed in a report.
  std::vector<rules::TargetHandle> loaded;
  std::map<rules::TargetHandle, Time> loaded_since;
  std::optional<OpenOrder> open;
};

/// Orders of all endpoints that this node keeps, and the node's share of the
/// weight store's budget.
struct OrdersState {
  Placement placement;
  std::map<rules::EndpointHandle, EndpointOrders> kept;
  Time next_load{};
};

/// Applies the models that a report shows as loaded and closes the order that
/// they confirm.
void ApplyLoadedModels(EndpointOrders& orders,
                       const std::vector<rules::TargetHandle>& loaded,
                       Time now);

/// Input of the next decision besides the endpoint's own orders.
struct OrderInput {
  std::vector<rules::TargetHandle> desired;
  std::uint32_t max_loaded_models = 1;
  bool honours_fencing = false;
  bool has_load_budget =
      false;  ///< The weight store's budget allows a load now.
  /// Loaded models that may be unloaded: a recent report shows them loaded at
  /// another endpoint that should hold them.
  std::vector<rules::TargetHandle> spare;
};

/// An order that was decided but not sent yet.
struct NextOrder {
  OrderKind kind = OrderKind::kLoad;
  rules::TargetHandle target;
};

/// Returns the order to give now, if any. The caller records it as `open`.
std::optional<NextOrder> DecideOrder(const EndpointOrders& orders,
                                     const OrderInput& input, Time now);

/// Returns the interval between two loads by one of `nodes` nodes that keeps
/// the whole fleet within the weight store's budget.
std::chrono::milliseconds ModelLoadInterval(std::size_t nodes);

}  // namespace egretladder::fleet
