#pragma once

// Public header of the Http library: libmicrohttpd as server, libcurl as client.

#include <Guavashift/Http/HttpClient.h>
#include <Guavashift/Http/HttpMessage.h>
#include <Guavashift/Http/HttpRouter.h>
#include <Guavashift/Http/HttpServer.h>
#include <Guavashift/Http/TokenGuard.h>
