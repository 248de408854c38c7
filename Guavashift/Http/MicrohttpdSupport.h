#pragma once

#include <Guavashift/Http/HttpServer.h>

#include <microhttpd.h>
#include <netinet/in.h>

// What both servers do with libmicrohttpd in the same way. Not part of the public header.

namespace guavashift {

constexpr unsigned httpListenBacklog = 1024;

Result<sockaddr_in> listenAddress(const HttpServerSettings &settings);
Error listenError(const HttpServerSettings &settings);
unsigned idleSeconds(const HttpServerSettings &settings);

/// Callback that adds one header to the HttpHeaders at `headers`.
MHD_Result addHeader(void *headers, MHD_ValueKind, const char *key, const char *value);

/// Callback that leaves escapes as they are: paths and queries are passed on unchanged.
std::size_t keepEscapes(void *, MHD_Connection *, char *text);

/// Takes a piece of the body, unless there is too much of it. True if there was a piece.
bool appendBody(HttpRequest &request, bool &tooLarge, std::size_t limit, const char *data,
                std::size_t *size);

/// Sends the answer; a closing server asks the caller to go elsewhere after it.
MHD_Result sendResponse(MHD_Connection *connection, const HttpResponse &response, bool closing);

} // namespace guavashift
