// Compressed bytes between nodes. Source: Zstandard (RFC 8878).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"

namespace egretladder::net {

/// Compresses `bytes`, with a checksum of them.
kernel::Result<std::string> Compress(std::string_view bytes);

/// Restores what `Compress` made. Refuses what is not that, doesn't match its
/// checksum, or would take more than `most` bytes, before it takes them.
kernel::Result<std::string> Decompress(std::string_view packed,
                                       std::size_t most);

}  // namespace egretladder::net
