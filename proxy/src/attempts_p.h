// What the files on attempts share.
#pragma once

#include "state_p.h"

namespace egretladder::proxy {

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }

/// The endpoint's fields that its caller gets.
net::HttpFields FieldsToPass(const net::HttpFields& fields);

/// True when the call's service may get one more repeat; counts it then.
bool TryConsumeRetry(Proxy& proxy, const Call& call);

}  // namespace egretladder::proxy
