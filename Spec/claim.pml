/* Claim, dispatch, revoke, resend, late copy, restart of an agent.
 *
 * One order with an idempotency key. Two entries may get it, one after the other or at once. The
 * first commit claims the key for one agent and its incarnation; a resend follows the claim. An
 * entry that loses contact asks the agent to revoke; only after "revoked" may the claim move to the
 * other agent under a new request id, or "not run" be answered.
 *
 * Checked: the order runs at most once; nobody is told "not run" of an order that runs.
 * -DNO_INCARNATION lets a restarted agent take what was meant for the one before it,
 * -DNO_REVOKE moves the claim without asking. */

#define NONE 255

#ifdef NO_INCARNATION
#define MEANT_HERE(id) true
#else
#define MEANT_HERE(id) (incarnation[flyAgent[id]] == flyIncarnation[id])
#endif

byte runs = 0;
bool saidNotRun = false;
bool claimed = false;
byte claimId = 0;
byte claimAgent = NONE;
byte claimIncarnation = 0;

byte incarnation[2];
bool ran0[2];        /* the agent remembers: request 0 ran here */
bool ran1[2];
bool revoked0[2];
bool revoked1[2];

/* Copies of the dispatch that are still on the network: by request id. */
bool flying[2];
byte flyAgent[2];
byte flyIncarnation[2];

inline dispatch(id) {
    flying[id] = true; flyAgent[id] = claimAgent; flyIncarnation[id] = claimIncarnation
}

inline runIt() { runs++; assert(runs <= 1); assert(!saidNotRun) }

proctype Entry() {
    byte myId; byte myAgent; byte myIncarnation; bool got;
    do
    :: atomic { !claimed ->
        claimed = true; claimId = 0; claimAgent = 0; claimIncarnation = incarnation[0] }
    :: atomic { claimed ->
        myId = claimId; myAgent = claimAgent; myIncarnation = claimIncarnation;
        dispatch(claimId) }
       /* Contact is lost: ask the agent. */
       atomic {
        got = false;
#ifdef NO_REVOKE
        got = true;
#else
        if
        :: incarnation[myAgent] == myIncarnation && myId == 0 && !ran0[myAgent] ->
            revoked0[myAgent] = true; got = true
        :: incarnation[myAgent] == myIncarnation && myId == 1 && !ran1[myAgent] ->
            revoked1[myAgent] = true; got = true
        :: else
        :: true /* the question or its answer is lost */
        fi
#endif
       }
       if
       :: got ->
           if
           /* Move the claim, if it is still the one that was revoked. */
           :: atomic { claimId == myId && myId == 0 ->
                claimId = 1; claimAgent = 1; claimIncarnation = incarnation[1] }
           :: atomic { claimId == myId && claimId == 1 -> saidNotRun = true; assert(runs == 0) }
           :: break
           fi
       :: !got -> break /* answered "unknown" */
       fi
    od
}

proctype Network() {
    byte id;
    do
    /* A copy arrives, now or much later; it may be doubled. */
    :: atomic { flying[0] -> id = 0;
        if :: flying[0] = false :: skip fi;
        if
        :: (MEANT_HERE(0) && !ran0[flyAgent[0]] && !revoked0[flyAgent[0]]) ->
            ran0[flyAgent[0]] = true; runIt()
        :: else
        fi }
    :: atomic { flying[1] ->
        if :: flying[1] = false :: skip fi;
        if
        :: (MEANT_HERE(1) && !ran1[flyAgent[1]] && !revoked1[flyAgent[1]]) ->
            ran1[flyAgent[1]] = true; runIt()
        :: else
        fi }
    /* The agent restarts once: what it remembered is gone. */
    :: atomic { incarnation[0] == 0 ->
        incarnation[0] = 1; ran0[0] = false; ran1[0] = false;
        revoked0[0] = false; revoked1[0] = false }
    od
}

init { atomic { run Entry(); run Entry(); run Network() } }
