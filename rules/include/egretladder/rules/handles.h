// Typed handles to what the published rules name.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace egretladder::rules {

/// Refers to one named thing of the rules. Cheap to copy; never a pointer. A
/// name keeps its handle for the life of the process, over every version of the
/// rules; other processes number differently, so messages carry names.
template <typename Tag>
struct Handle {
  std::uint32_t idx = std::numeric_limits<std::uint32_t>::max();
  auto operator<=>(const Handle&) const = default;
};

/// Returns true unless the handle is the default, which refers to nothing.
template <typename Tag>
constexpr bool IsValid(Handle<Tag> handle) {
  return handle.idx != std::numeric_limits<std::uint32_t>::max();
}

/// An availability zone.
using ZoneHandle = Handle<struct ZoneTag>;
using TargetHandle = Handle<struct TargetTag>;  ///< A model or a service.
/// A class of requests.
using ClassHandle = Handle<struct ClassTag>;
/// A client account.
using AccountHandle = Handle<struct AccountTag>;
/// An engine or server that runs requests.
using EndpointHandle = Handle<struct EndpointTag>;
/// A node of the router.
using NodeHandle = Handle<struct NodeTag>;

}  // namespace egretladder::rules

template <typename Tag>
struct std::hash<egretladder::rules::Handle<Tag>> {
  std::size_t operator()(
      egretladder::rules::Handle<Tag> handle) const noexcept {
    return handle.idx;
  }
};
