#pragma once

// Public header of the Agent library: the last gate before a backend server and the scheduler's
// hand on its worker.

#include <Guavashift/Agent/Platform.h>
#include <Guavashift/Agent/RequestGate.h>
#include <Guavashift/Agent/WorkerReconciler.h>
