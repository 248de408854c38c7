#pragma once

// Public header of the Scheduling library: decisions on jobs and workers that need neither a
// network nor a clock.
#include <Guavashift/Scheduling/JobWorth.h>
#include <Guavashift/Scheduling/NearPlaces.h>
#include <Guavashift/Scheduling/NearWait.h>
#include <Guavashift/Scheduling/OverloadPlanner.h>
#include <Guavashift/Scheduling/RetryAdvice.h>
#include <Guavashift/Scheduling/VacancyRates.h>
#include <Guavashift/Scheduling/WarmUp.h>
#include <Guavashift/Scheduling/WorkerSpeeds.h>
