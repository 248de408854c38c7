#pragma once

// Public header of the Dispatch library: the leader's scheduling of staged jobs.
#include <Guavashift/Dispatch/ColdWorkers.h>
#include <Guavashift/Dispatch/DispatchSettings.h>
#include <Guavashift/Dispatch/Dispatcher.h>
#include <Guavashift/Dispatch/EvacuationGuard.h>
#include <Guavashift/Dispatch/HeadroomTrend.h>
#include <Guavashift/Dispatch/HeldWorkers.h>
#include <Guavashift/Dispatch/IdleJobs.h>
#include <Guavashift/Dispatch/InterferenceTable.h>
#include <Guavashift/Dispatch/JobProgress.h>
#include <Guavashift/Dispatch/LifetimeProof.h>
#include <Guavashift/Dispatch/LongRunningWaits.h>
#include <Guavashift/Dispatch/SettleReason.h>
#include <Guavashift/Dispatch/WaitState.h>
#include <Guavashift/Dispatch/WorkerFacts.h>
#include <Guavashift/Dispatch/WorkerPool.h>
