#pragma once

// Public header of the Placement library: the scheduling decisions.

#include <Guavashift/Placement/Policies.h>
#include <Guavashift/Placement/Scheduler.h>
#include <Guavashift/Placement/UsageReport.h>
