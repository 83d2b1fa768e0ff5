// Errors that carry the step and the peer at which they arose.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace egretladder::kernel {

/// What kind of failure it is; callers branch on this, never on the text.
enum class ErrorCode : std::uint8_t {
  kInvalidInput,  ///< A document, setting or message breaks its rules.
  kNotFound,
  kUnavailable,  ///< The peer can't be reached or refuses for now.
  kTimeout,
  kConflict,  ///< It clashes with what is in force.
  kInternal,
};

/// Returns the name of `code` as it stands in logs, for instance `timeout`.
const char* NameOf(ErrorCode code);

/// A failure: what kind, at which step, with whom.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;  ///< What was being done: `read settings`, `connect`.
  std::string peer;  ///< File:line, address or name it was done with.
  std::string detail;
};

/// Returns one line: `read settings: node.ini:4: unknown key 'prot'`.
std::string Describe(const Error& error);

/// A value or an `Error`. Asking an error for its value ends the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns an error ready to be returned from a function with a `Result`.
inline Error MakeError(ErrorCode code, std::string step, std::string peer,
                       std::string detail) {
  return Error{code, std::move(step), std::move(peer), std::move(detail)};
}

}  // namespace egretladder::kernel
