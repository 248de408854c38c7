#pragma once

// Public header of the Agent library: runs requests at a worker's backend servers at most once
// each, and runs the tasks that the scheduler places on the worker.

#include <Guavashift/Agent/HandOver.h>
#include <Guavashift/Agent/Platform.h>
#include <Guavashift/Agent/RequestGate.h>
#include <Guavashift/Agent/WorkerReconciler.h>
