#pragma once

// Public header of the Rpc library: JSON-RPC over TCP between the system's own processes.

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcClient.h>
#include <Guavashift/Rpc/RpcServer.h>
