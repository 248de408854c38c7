#pragma once

// Public header of the State library: the deterministic state machine behind the replicated log.

#include <Guavashift/State/Commands.h>
#include <Guavashift/State/Outcomes.h>
#include <Guavashift/State/Records.h>
#include <Guavashift/State/SnapshotCodec.h>
#include <Guavashift/State/StateMachine.h>
