// Functions shared by the sources that run attempts.
#pragma once

#include "state_p.h"

namespace egretladder::proxy {

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// Returns the fields of an endpoint's answer that are forwarded to the caller;
/// hop-by-hop fields are not.
net::HttpFields FieldsToForward(const net::HttpFields& fields);

/// Returns true if the retry budget of the call's service allows one more
/// retry, and takes it from the budget then.
bool TryConsumeRetry(Proxy& proxy, const Call& call);

}  // namespace egretladder::proxy
