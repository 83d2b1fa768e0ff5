// Compressed bytes between nodes. Source: Zstandard (RFC 8878).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"

namespace egretladder::net {

/// Compresses `bytes`, with a checksum of them.
kernel::Result<std::string> Pack(std::string_view bytes);

/// Restores what `Pack` made. Refuses what is not that, doesn't match its
/// checksum, or would take more than `most` bytes, before it takes them.
kernel::Result<std::string> Unpack(std::string_view packed, std::size_t most);

}  // namespace egretladder::net
