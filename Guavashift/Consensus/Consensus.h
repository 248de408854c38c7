#pragma once

// Public header of the Consensus library: a leader-based replicated log. The Replica is pure; files
// are behind LogStore.

#include <Guavashift/Consensus/EntryLog.h>
#include <Guavashift/Consensus/FileLogStore.h>
#include <Guavashift/Consensus/LogStore.h>
#include <Guavashift/Consensus/Membership.h>
#include <Guavashift/Consensus/Messages.h>
#include <Guavashift/Consensus/Replica.h>
