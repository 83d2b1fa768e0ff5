// Between the fleet's messages and their wire form.
#pragma once

#include <peer.capnp.h>

#include <string_view>

#include "egretladder/fleet/messages.h"
#include "egretladder/kernel/error.h"

namespace egretladder::gateway {

void Write(const fleet::Sender& sender, wire::Sender::Builder out);
void Write(const fleet::Message& message, wire::Message::Builder out);

fleet::Sender ReadSender(wire::Sender::Reader in);
/// Fails with `kInvalidInput` on a kind or state that this version does not
/// know. Throws `kj::Exception` on a message that is cut off or whose pointers
/// lead nowhere, as Cap'n Proto's readers do.
kernel::Result<fleet::Message> ReadMessage(wire::Message::Reader in);

/// What a message is called in metrics.
const char* KindOf(const fleet::Message& message);

}  // namespace egretladder::gateway
