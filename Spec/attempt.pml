/* Worker lease, attempt number, frozen agent, new leader.
 *
 * One task, two workers. The leader starts attempt n on a worker; the agent there checks its lease
 * and calls the platform; it may be frozen between the check and the call. When the worker's lease
 * has run out (LEASE + MARGIN after the last grant) the leader starts attempt n + 1 on the other.
 * The platform checks the end of the lease again when the call arrives, stops the task at the end
 * of the lease, and refuses attempts that it has seen.
 *
 * Checked: never two attempts run at the same time; no attempt starts twice; each new attempt
 * follows one certain end of the one before.
 * -DNO_PLATFORM_LEASE drops the platform's check, -DNO_ATTEMPT drops the refusal of attempts seen. */

#define LEASE 3
#define MARGIN 1
#define HORIZON 12
#define NONE 255

#ifdef NO_ATTEMPT
#define IS_NEW(w, a) true
#else
#define IS_NEW(w, a) (a > seen[w])
#endif
#ifdef NO_PLATFORM_LEASE
#define IN_TIME(end) true
#define EXPIRED(end) false
#else
#define IN_TIME(end) (now < end)
#define EXPIRED(end) (now >= end)
#endif

byte now = 0;
byte attempt = 0;          /* last assigned by the replicated state */
byte assignedWorker = NONE; /* worker of the current attempt */
byte grantedAt[2];         /* last grant by any leader */
byte expiry[2];            /* of the worker's lease as its agent sees it */
byte running[2];           /* attempt that runs at the platform, 0 for none */
byte seen[2];              /* highest attempt seen by the platform */
byte callPending[2];       /* attempt of a start call in flight, 0 for none */
byte callExpiry[2];
byte certainEnds = 0;      /* certain ends of attempts */
bool started[4];           /* attempts that have started once */

inline checkSingle() { assert(!(running[0] != 0 && running[1] != 0)) }

proctype Time() {
    do
    :: atomic { now < HORIZON ->
        now++;
        if :: running[0] != 0 && EXPIRED(expiry[0]) -> running[0] = 0 :: else fi;
        if :: running[1] != 0 && EXPIRED(expiry[1]) -> running[1] = 0 :: else fi }
    od
}

proctype Leader() {
    byte w;
    do
    :: atomic { assignedWorker == NONE && attempt < 3 ->
        if :: w = 0 :: w = 1 fi;
        assert(attempt == certainEnds);
        attempt++; assignedWorker = w }
    /* The end of the attempt is certain only once the lease and its margin have expired. */
    :: atomic { assignedWorker != NONE && now > grantedAt[assignedWorker] + LEASE + MARGIN ->
        certainEnds++; assignedWorker = NONE }
    od
}

proctype Agent(byte w) {
    do
    /* A heartbeat: the lease counts from when it was sent. */
    :: atomic { now < HORIZON -> grantedAt[w] = now; expiry[w] = now + LEASE }
    /* The agent checks its lease. It may be frozen before the call, which can follow at any later time. */
    :: atomic { assignedWorker == w && now < expiry[w] && callPending[w] == 0 && running[w] != attempt && IS_NEW(w, attempt) -> callPending[w] = attempt; callExpiry[w] = expiry[w] }
    :: atomic { callPending[w] != 0 ->
        if
        :: IS_NEW(w, callPending[w]) && IN_TIME(callExpiry[w]) ->
            running[w] = callPending[w]; seen[w] = callPending[w];
            assert(!started[running[w]]);
            started[running[w]] = true;
            checkSingle()
        :: else
        fi;
        callPending[w] = 0 }
    /* The task ends; its end is reported and committed. */
    :: atomic { running[w] != 0 && assignedWorker == w && running[w] == attempt ->
        running[w] = 0; certainEnds++; assignedWorker = NONE }
    od
}

init { atomic { run Time(); run Leader(); run Agent(0); run Agent(1) } }
