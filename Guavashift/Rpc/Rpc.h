#pragma once

// Public header of the Rpc library: JSON-RPC between the system's own processes over ACE TCP.

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcClient.h>
#include <Guavashift/Rpc/RpcServer.h>
