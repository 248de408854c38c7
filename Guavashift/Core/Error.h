#pragma once

#include <string>
#include <tl/expected.hpp>

namespace guavashift {

/// Kind of failure that an Error reports.
enum class ErrorCode {
    InvalidArgument, ///< The request itself is wrong; sending it again gives the same result.
    Unauthorized,    ///< The token or cluster key does not match.
    NotFound,        ///< The named object does not exist.
    Conflict,        ///< The state has changed since, for example a stale base version.
    NotLeader,       ///< Another replica leads; the caller should send the request there.
    Unavailable,     ///< Cannot be done now; the request had no effect.
    Timeout,         ///< No answer in time; whether the request took effect is unknown.
    Io,              ///< A file or socket operation failed.
};

/// A failure with a human-readable message.
struct Error
{
    ErrorCode code = ErrorCode::Unavailable;
    std::string message;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Makes a failed Result from a code and a message.
inline tl::unexpected<Error> fail(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace guavashift
