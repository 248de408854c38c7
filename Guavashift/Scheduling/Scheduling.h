#pragma once

// Public header of the Scheduling library: decisions on jobs and workers that need neither a
// network nor a clock.
#include <Guavashift/Scheduling/RetryAdvice.h>
#include <Guavashift/Scheduling/WorkerSpeeds.h>
