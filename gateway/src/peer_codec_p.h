// Encodes and decodes the messages between nodes.
#pragma once

#include <peer.capnp.h>

#include <string_view>

#include "egretladder/fleet/messages.h"
#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

void Write(const fleet::Sender& sender, wire::Sender::Builder out);
void Write(const fleet::Message& message, wire::Message::Builder out);

fleet::Sender ReadSender(wire::Sender::Reader in);
/// Decodes a message. Fails with `kInvalidInput` on a kind or state that this
/// version doesn't know. Like Cap'n Proto's readers, throws `kj::Exception` on
/// a message that is truncated or has invalid pointers.
kernel::Result<fleet::Message> ReadMessage(wire::Message::Reader in);

/// Returns the name of a message in metrics.
const char* KindOf(const fleet::Message& message);

}  // namespace egretladder::gateway
