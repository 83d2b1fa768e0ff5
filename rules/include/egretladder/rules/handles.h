// Typed handles to the objects that the published rules name.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace egretladder::rules {

/// Refers to a named object of the rules by its index rather than by a pointer.
/// Cheap to copy. A name keeps its handle in all versions of the rules for the
/// life of the process. Other processes assign other indexes, so messages
/// between nodes carry names.
template <typename Tag>
struct Handle {
  std::uint32_t idx = std::numeric_limits<std::uint32_t>::max();
  auto operator<=>(const Handle&) const = default;
};

/// Returns false for a default-constructed handle, which refers to nothing.
template <typename Tag>
constexpr bool IsValid(Handle<Tag> handle) {
  return handle.idx != std::numeric_limits<std::uint32_t>::max();
}

/// An availability zone.
using ZoneHandle = Handle<struct ZoneTag>;
using TargetHandle = Handle<struct TargetTag>;  ///< A model or a service.
/// A request class.
using ClassHandle = Handle<struct ClassTag>;
/// A client account.
using AccountHandle = Handle<struct AccountTag>;
/// An engine or server that executes requests.
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
