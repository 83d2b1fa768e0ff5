// A peer message from any bytes: refused or read, never a crash; what is read
// survives being written again.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

#include "egretladder/gateway/limits.h"
#include "peer_codec_p.h"

namespace eg = egretladder::gateway;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::vector<capnp::word> words(size / sizeof(capnp::word));
  if (words.empty()) return 0;
  std::memcpy(words.data(), data, words.size() * sizeof(capnp::word));
  // As the RPC system reads them.
  capnp::ReaderOptions options;
  options.traversalLimitInWords = eg::kPeerMessageWords;
  const auto fault = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()), options);
    const auto message =
        eg::ReadMessage(reader.getRoot<egretladder::wire::Message>());
    if (!message) return;
    capnp::MallocMessageBuilder builder;
    eg::Write(message.value(), builder.initRoot<egretladder::wire::Message>());
  });
  (void)fault;
  return 0;
}
