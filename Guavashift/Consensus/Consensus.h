#pragma once

// Public header of the Consensus library: a leader-based replicated log. Replica does no I/O;
// LogStore is the interface to durable storage.

#include <Guavashift/Consensus/EntryLog.h>
#include <Guavashift/Consensus/FileLogStore.h>
#include <Guavashift/Consensus/LogStore.h>
#include <Guavashift/Consensus/Membership.h>
#include <Guavashift/Consensus/Messages.h>
#include <Guavashift/Consensus/Replica.h>
