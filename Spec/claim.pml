/* Claim, dispatch, revoke, resend, late copy, restart of an agent.
 *
 * One order with an idempotency key. Two entries may receive it, in sequence or concurrently. The
 * first commit claims the key for one agent and its incarnation; a resend follows the claim. An
 * entry that loses contact asks the agent to revoke; only after "revoked" may the claim move to the
 * other agent under a new request id, or "not run" be answered.
 *
 * Checked: the order runs at most once; no caller is told "not run" of an order that runs.
 * -DNO_INCARNATION lets a restarted agent accept requests for its previous incarnation,
 * -DNO_REVOKE moves the claim without a revocation. */

#define NONE 255

#ifdef NO_INCARNATION
#define FOR_THIS_INCARNATION(id) true
#else
#define FOR_THIS_INCARNATION(id) (incarnation[inFlightAgent[id]] == inFlightIncarnation[id])
#endif

byte runs = 0;
bool answeredNotRun = false;
bool claimed = false;
byte claimId = 0;
byte claimAgent = NONE;
byte claimIncarnation = 0;

byte incarnation[2];
bool ran0[2];        /* record of the agent that request 0 ran here */
bool ran1[2];
bool revoked0[2];
bool revoked1[2];

/* Copies of the dispatch still in the network, by request id. */
bool inFlight[2];
byte inFlightAgent[2];
byte inFlightIncarnation[2];

inline dispatch(id) {
    inFlight[id] = true; inFlightAgent[id] = claimAgent; inFlightIncarnation[id] = claimIncarnation
}

inline runOrder() { runs++; assert(runs <= 1); assert(!answeredNotRun) }

proctype Entry() {
    byte myId; byte myAgent; byte myIncarnation; bool revoked;
    do
    :: atomic { !claimed ->
        claimed = true; claimId = 0; claimAgent = 0; claimIncarnation = incarnation[0] }
    :: atomic { claimed ->
        myId = claimId; myAgent = claimAgent; myIncarnation = claimIncarnation;
        dispatch(claimId) }
       /* Contact is lost: the entry asks the agent to revoke. */
       atomic {
        revoked = false;
#ifdef NO_REVOKE
        revoked = true;
#else
        if
        :: incarnation[myAgent] == myIncarnation && myId == 0 && !ran0[myAgent] ->
            revoked0[myAgent] = true; revoked = true
        :: incarnation[myAgent] == myIncarnation && myId == 1 && !ran1[myAgent] ->
            revoked1[myAgent] = true; revoked = true
        :: else
        :: true /* the request to revoke or its answer is lost */
        fi
#endif
       }
       if
       :: revoked ->
           if
           /* Move the claim, if it is still the one that was revoked. */
           :: atomic { claimId == myId && myId == 0 ->
                claimId = 1; claimAgent = 1; claimIncarnation = incarnation[1] }
           :: atomic { claimId == myId && claimId == 1 -> answeredNotRun = true; assert(runs == 0) }
           :: break
           fi
       :: !revoked -> break /* answered "unknown" */
       fi
    od
}

proctype Network() {
    byte id;
    do
    /* A copy arrives, now or much later; it may be duplicated. */
    :: atomic { inFlight[0] -> id = 0;
        if :: inFlight[0] = false :: skip fi;
        if
        :: (FOR_THIS_INCARNATION(0) && !ran0[inFlightAgent[0]] && !revoked0[inFlightAgent[0]]) ->
            ran0[inFlightAgent[0]] = true; runOrder()
        :: else
        fi }
    :: atomic { inFlight[1] ->
        if :: inFlight[1] = false :: skip fi;
        if
        :: (FOR_THIS_INCARNATION(1) && !ran1[inFlightAgent[1]] && !revoked1[inFlightAgent[1]]) ->
            ran1[inFlightAgent[1]] = true; runOrder()
        :: else
        fi }
    /* Agent 0 restarts once and loses its records. */
    :: atomic { incarnation[0] == 0 ->
        incarnation[0] = 1; ran0[0] = false; ran1[0] = false;
        revoked0[0] = false; revoked1[0] = false }
    od
}

init { atomic { run Entry(); run Entry(); run Network() } }
