// Compression of data that nodes send each other, with Zstandard (RFC 8878).
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "egretladder/kernel/error.h"

namespace egretladder::net {

/// Compresses `bytes` and adds a checksum of them.
kernel::Result<std::string> Compress(std::string_view bytes);

/// Returns the bytes that `Compress` was given. Fails if `packed` is malformed,
/// doesn't match its checksum, or states a size above `max_bytes`, in which
/// case no memory is allocated for it.
kernel::Result<std::string> Decompress(std::string_view packed,
                                       std::size_t max_bytes);

}  // namespace egretladder::net
