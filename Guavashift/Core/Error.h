#pragma once

#include <string>
#include <tl/expected.hpp>

namespace guavashift {

/// What kind of failure an Error reports.
enum class ErrorCode {
    InvalidArgument, ///< The request itself is wrong; sending it again gives the same answer.
    Unauthorized,    ///< The token or cluster key does not match.
    NotFound,        ///< The thing named does not exist.
    Conflict,        ///< The state has moved on, for example a stale base version.
    NotLeader,       ///< Another replica leads; the caller should ask that one.
    Unavailable,     ///< Could not be done now; nothing happened.
    Timeout,         ///< No answer in time; whether it happened is unknown.
    Io,              ///< A file or socket operation failed.
};

/// A failure with a text for people.
struct Error
{
    ErrorCode code = ErrorCode::Unavailable;
    std::string message;
};

template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace guavashift
