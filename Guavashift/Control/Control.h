#pragma once

// Public header of the Control library: the protocol between the control role and the other roles,
// their client of it, and their side of its leases.

#include <Guavashift/Control/ControlClient.h>
#include <Guavashift/Control/LeasedConfiguration.h>
#include <Guavashift/Control/NodeLease.h>
#include <Guavashift/Control/Protocol.h>
