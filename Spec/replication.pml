/* Replication with a lost disk and a change of membership.
 *
 * Three voters; one of them may lose its disk once and return as a new replica (index 3) that
 * holds nothing. The log is abstracted to one committed entry: a replica either holds it or not.
 * A leader of term t commits the entry once a majority of its voters holds it.
 *
 * Checked: at most one leader in each term; a leader elected after the entry was committed holds
 * it. -DEMPTY_VOTES lets a replica with an empty disk vote under its old identity, and
 * -DREPLACE_AT_ONCE swaps the lost voter for the new replica in a single change that does not wait
 * until it has caught up: both break the second rule. */

#define N 4
#define TERMS 4

#ifdef EMPTY_VOTES
#define MAY_VOTE(i) true
#else
#define MAY_VOTE(i) (!blank[i])
#endif
#ifdef REPLACE_AT_ONCE
#define CAUGHT_UP true
#else
#define CAUGHT_UP ((!committed || holds[3]) && !blank[3])
#endif

bool up[N];
bool holds[N];       /* has synced the entry */
bool blank[N];       /* holds no log at all */
byte term[N];
byte votedIn[N];     /* last term in which it voted */
bool voter[N];       /* membership in force; changed one voter at a time */
byte leader = 255;
byte leaderTerm = 0;
byte leadersIn[TERMS];
bool committed = false;
bool lost = false;
bool joined = false;
bool promoted = false;
bool removed = false;

inline countVoters(n, i) {
    n = 0;
    for (i : 0 .. N - 1) { if :: voter[i] -> n++ :: else fi }
}

/* Replica c asks for votes in the next term. */
inline elect(c) {
    d_step {
        byte i; byte n; byte votes; byte t;
        t = term[c] + 1;
        countVoters(n, i);
        votes = 0;
        for (i : 0 .. N - 1) {
            if
            :: voter[i] && up[i] && votedIn[i] < t && term[i] < t && MAY_VOTE(i) && (!holds[i] || holds[c]) ->
                votedIn[i] = t; term[i] = t; votes++
            :: else
            fi
        }
        if
        :: votes * 2 > n ->
            leader = c; leaderTerm = t;
            leadersIn[t]++;
            assert(leadersIn[t] <= 1);
            assert(!committed || holds[c])
        :: else
        fi;
        i = 0; n = 0; votes = 0; t = 0
    }
}

proctype Replica(byte me) {
    do
    :: atomic { up[me] && voter[me] && !blank[me] && term[me] + 1 < TERMS -> elect(me) }
    :: atomic { leader == me && up[me] && term[me] == leaderTerm && !holds[me] && !committed ->
         holds[me] = true }
    /* Copy the entry to another replica. */
    :: atomic { leader == me && up[me] && term[me] == leaderTerm && holds[me] ->
         if
         :: up[0] && term[0] <= leaderTerm -> holds[0] = true; blank[0] = false; term[0] = leaderTerm
         :: up[1] && term[1] <= leaderTerm -> holds[1] = true; blank[1] = false; term[1] = leaderTerm
         :: up[2] && term[2] <= leaderTerm -> holds[2] = true; blank[2] = false; term[2] = leaderTerm
         :: up[3] && joined && term[3] <= leaderTerm -> holds[3] = true; blank[3] = false; term[3] = leaderTerm
         fi }
    /* The new replica has received an older part of the log, but not the entry. */
    :: atomic { leader == me && up[me] && joined && blank[3] -> blank[3] = false }
    /* Commit on a majority. */
    :: d_step { leader == me && up[me] && term[me] == leaderTerm && !committed ->
         byte i; byte n; byte holders;
         countVoters(n, i);
         holders = 0;
         for (i : 0 .. N - 1) { if :: voter[i] && holds[i] -> holders++ :: else fi }
         if :: holders * 2 > n -> committed = true :: else fi;
         i = 0; n = 0; holders = 0 }
    /* The new replica becomes a voter, then the lost one leaves: one change at a time. */
    :: atomic { leader == me && up[me] && term[me] == leaderTerm && joined && !promoted && CAUGHT_UP -> promoted = true; voter[3] = true
#ifdef REPLACE_AT_ONCE
         ; voter[2] = false; removed = true
#endif
       }
    /* The first change must be committed: a majority has received it from this leader. */
    :: d_step { leader == me && up[me] && term[me] == leaderTerm && promoted && !removed ->
         byte j; byte m; byte reached;
         countVoters(m, j);
         reached = 0;
         for (j : 0 .. N - 1) { if :: voter[j] && term[j] == leaderTerm -> reached++ :: else fi }
         if :: reached * 2 > m -> removed = true; voter[2] = false :: else fi;
         j = 0; m = 0; reached = 0 }
    /* A heartbeat carries the leader's term and membership. */
    :: atomic { leader == me && up[me] && term[me] == leaderTerm ->
         if
         :: up[0] && term[0] < leaderTerm -> term[0] = leaderTerm
         :: up[1] && term[1] < leaderTerm -> term[1] = leaderTerm
         :: up[3] && joined && !blank[3] && term[3] < leaderTerm -> term[3] = leaderTerm
         :: else
         fi }
    :: atomic { up[me] && !lost && me != 2 -> up[me] = false; if :: leader == me -> leader = 255 :: else fi }
    :: atomic { !up[me] && me != 2 && !blank[me] -> up[me] = true }
    od
}

/* Replica 2 loses its disk once. */
proctype DiskLoss() {
    atomic {
        !lost -> lost = true;
        if :: leader == 2 -> leader = 255 :: else fi;
#ifdef EMPTY_VOTES
        holds[2] = false; blank[2] = true; term[2] = 0; votedIn[2] = 0; up[2] = true
#else
        up[2] = false; holds[2] = false; blank[2] = true;
        up[3] = true; joined = true
#endif
    }
}

init {
    atomic {
        byte i;
        for (i : 0 .. 2) { up[i] = true; voter[i] = true }
        blank[3] = true;
        i = 0;
        run Replica(0); run Replica(1); run Replica(2); run Replica(3);
        run DiskLoss()
    }
}
