#include <zstd.h>

#include <memory>

#include "egretladder/net/compression.h"

namespace egretladder::net {
namespace {

struct ContextDelete {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};

kernel::Error Failed(const char* step, const char* why) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, step, "", why);
}

}  // namespace

kernel::Result<std::string> Compress(std::string_view bytes) {
  constexpr const char* kStep = "compress";
  const std::unique_ptr<ZSTD_CCtx, ContextDelete> context(ZSTD_createCCtx());
  if (context == nullptr) return Failed(kStep, "no memory");
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  std::string packed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), packed.data(), packed.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0) return Failed(kStep, ZSTD_getErrorName(size));
  packed.resize(size);
  return packed;
}

kernel::Result<std::string> Decompress(std::string_view packed,
                                       std::size_t max_bytes) {
  constexpr const char* kStep = "restore compressed bytes";
  const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return Failed(kStep, "no size is stated");
  }
  if (size > max_bytes) return Failed(kStep, "larger than allowed");
  std::string bytes(static_cast<std::size_t>(size), '\0');
  const std::size_t restored =
      ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
  if (ZSTD_isError(restored) != 0)
    return Failed(kStep, ZSTD_getErrorName(restored));
  if (restored != bytes.size())
    return Failed(kStep, "less than its stated size");
  return bytes;
}

}  // namespace egretladder::net
