// Functions of event_order.cc that event_form.cc decides by, too.
#pragma once

#include "egretladder/routing/event_order.h"

namespace egretladder::routing {

/// Returns nothing for ids that are no decimal numbers of 64 bits. Such ids
/// can't be compared.
std::optional<std::uint64_t> ParseId(std::string_view id);

/// Returns true if the run was asked for the last event, too, and hasn't sent
/// it yet: what it sends without an id comes again.
bool IsBeforePosition(const StreamPosition& position, const StreamRun& run);

/// Puts the step from the position's last number to `number` in doubt.
void DoubtStep(StreamPosition& position, const StreamRun& run,
               std::uint64_t number);

/// Returns true if the run takes the same step within its events that another
/// endpoint has taken within its own.
bool IsShownElsewhere(const StreamPosition& position, const StreamRun& run,
                      std::uint64_t number);

/// Records an event that follows.
void PassOn(StreamPosition& position, StreamRun& run, std::string_view id);

}  // namespace egretladder::routing
