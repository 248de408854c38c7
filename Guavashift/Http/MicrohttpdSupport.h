#pragma once

#include <Guavashift/Http/HttpServer.h>

#include <microhttpd.h>
#include <netinet/in.h>

// Functions that both servers share for libmicrohttpd. Not part of the public header.

namespace guavashift {

constexpr unsigned httpListenBacklog = 1024;

Result<sockaddr_in> listenAddress(const HttpServerSettings &settings);
Error listenError(const HttpServerSettings &settings);
unsigned idleSeconds(const HttpServerSettings &settings);

/// Callback that adds one header to the HttpHeaders at `headers`.
MHD_Result addHeader(void *headers, MHD_ValueKind, const char *key, const char *value);

/// Unescape callback that changes nothing, since paths and queries are forwarded unchanged.
std::size_t keepEscapes(void *, MHD_Connection *, char *text);

/// Appends a part of the body, or sets `tooLarge` if the body exceeds `limit`. False if there was
/// no part.
bool appendBody(HttpRequest &request, bool &tooLarge, std::size_t limit, const char *data,
                std::size_t *size);

/// Sends the answer. A closing server adds "Connection: close", so that the caller connects
/// elsewhere.
MHD_Result sendResponse(MHD_Connection *connection, const HttpResponse &response, bool closing);

} // namespace guavashift
