#pragma once

// Public header of the Fleet library: the processes that run staged jobs on a fleet of workers.
#include <Guavashift/Fleet/AgentNode.h>
#include <Guavashift/Fleet/CoreNode.h>
#include <Guavashift/Fleet/FleetSettings.h>
#include <Guavashift/Fleet/GatewayNode.h>
#include <Guavashift/Fleet/WorkerPort.h>
