#pragma once

// Public header of the Stages library: jobs of several steps and their replicated state.
#include <Guavashift/Stages/EvacuatedDomains.h>
#include <Guavashift/Stages/JobPlan.h>
#include <Guavashift/Stages/JobTable.h>
#include <Guavashift/Stages/QueueTable.h>
#include <Guavashift/Stages/StageCommands.h>
