// Error values that name the failed step and what it failed on.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace egretladder::kernel {

/// The kind of a failure. Callers branch on this code and never parse the
/// text of an error.
enum class ErrorCode : std::uint8_t {
  kInvalidInput,  ///< A document, setting or message is malformed.
  kNotFound,
  kUnavailable,  ///< The peer is unreachable or temporarily refuses.
  kTimeout,
  kConflict,  ///< The change contradicts the version in force.
  kInternal,
};

/// Returns the name of `code` as it is written to logs, such as `timeout`.
const char* NameOf(ErrorCode code);

/// Describes one failure.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;  ///< The operation that failed, such as `connect`.
  std::string peer;  ///< What the step acted on: file:line, address, name.
  std::string detail;
};

/// Formats `error` as one line, such as
/// `read settings: node.ini:4: unknown key 'prot'`.
std::string Describe(const Error& error);

/// A value or an `Error`. Reading the value of a failed result terminates the
/// process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Builds an `Error`, which converts implicitly to any failed `Result`.
inline Error MakeError(ErrorCode code, std::string step, std::string peer,
                       std::string detail) {
  return Error{code, std::move(step), std::move(peer), std::move(detail)};
}

}  // namespace egretladder::kernel
