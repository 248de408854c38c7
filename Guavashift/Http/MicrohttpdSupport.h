#pragma once

#include <Guavashift/Http/HttpServer.h>

#include <microhttpd.h>
#include <netinet/in.h>

// Functions that both servers share for libmicrohttpd. Not part of the public header.

namespace guavashift {

constexpr unsigned httpListenBacklog = 1024;
/// Passed to SO_RCVBUF. The system may keep twice as much.
constexpr int receiveBufferBytes = 32 << 10;

Result<sockaddr_in> listenAddress(const HttpServerSettings &settings);
Error listenError(const HttpServerSettings &settings);
/// The timeout in the library's unit, rounded up.
unsigned idleSeconds(Duration timeout);

/// Callback that adds one header to the HttpHeaders at `headers`.
MHD_Result addHeader(void *headers, MHD_ValueKind, const char *key, const char *value);

/// Unescape callback that changes nothing, since paths and queries are forwarded unchanged.
std::size_t keepEscapes(void *, MHD_Connection *, char *text);

/// Connections that libmicrohttpd may have open: more than the server keeps, so that a new one is
/// accepted while another is cut.
unsigned connectionLimit(const HttpServerSettings &settings);

/// Limits what the system keeps unread for each connection that the daemon accepts from now on.
void limitReceiveBuffers(MHD_Daemon *daemon);

/// Sends the answer. A closing server adds "Connection: close", so that the caller connects
/// elsewhere.
MHD_Result sendResponse(MHD_Connection *connection, const HttpResponse &response, bool closing);

} // namespace guavashift
