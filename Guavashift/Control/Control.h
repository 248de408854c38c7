#pragma once

// Public header of the Control library: the control role, the protocol that other roles speak with
// it, and their client.

#include <Guavashift/Control/ControlClient.h>
#include <Guavashift/Control/LeasedConfiguration.h>
#include <Guavashift/Control/NodeLease.h>
#include <Guavashift/Control/Protocol.h>
