#pragma once

// Public header of the Routing library: decisions about a single request, without I/O.

#include <Guavashift/Routing/DispatchHeaders.h>
#include <Guavashift/Routing/LatencyWindow.h>
#include <Guavashift/Routing/QueueAdmission.h>
#include <Guavashift/Routing/RequestPolicy.h>
#include <Guavashift/Routing/RetryBudget.h>
#include <Guavashift/Routing/Router.h>
