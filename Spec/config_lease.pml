/* Configuration lease with a change of leader.
 *
 * A VM renews its lease with any process that answers as leader. A leader answers only while its own lease
 * of LEADER ticks, counted from its last contact with a quorum, runs. A new leader may be elected
 * once the voters have refused votes for ELECTION ticks since they last heard the old one. After a
 * new version is accepted, the VM may work under the old one for at most LEASE + LEADER ticks more.
 *
 * -DNO_LEADER_LEASE lets a cut-off leader answer indefinitely; the bound breaks. -DSTEP_BACK lets the
 * VM take an older version from a late answer; the rule that versions never go back breaks. */

#define LEADER 2
#define ELECTION 3
#define LEASE 4
#define HORIZON 14

#ifdef NO_LEADER_LEASE
#define LEADER_ANSWERS true
#else
#define LEADER_ANSWERS (now < lastContact + LEADER)
#endif
#ifdef STEP_BACK
#define ACCEPTS(v) true
#else
#define ACCEPTS(v) (v >= vmVersion)
#endif

byte now = 0;
byte version[2];          /* newest accepted version known to each leader */
byte accepted = 0;        /* newest accepted version */
byte acceptedAt = 0;
bool secondLeads = false;
byte lastContact = 0;     /* of the first leader with a quorum */
bool cutOff = false;      /* the first leader is cut off from the others, not from the VM */

byte vmVersion = 0;
byte vmExpiry = 0;
byte vmHighest = 0;
/* One answer of each leader may be in flight. */
bool answerPending[2];
byte answerVersion[2];
byte answerSentAt[2];

inline vmMayWork(result) { result = (now < vmExpiry) }

inline receiveAnswer(l) {
    answerPending[l] = false;
    if
    :: ACCEPTS(answerVersion[l]) ->
        vmVersion = answerVersion[l];
        if :: answerSentAt[l] + LEASE > vmExpiry -> vmExpiry = answerSentAt[l] + LEASE :: else fi;
        assert(vmVersion >= vmHighest);
        vmHighest = vmVersion
    :: !ACCEPTS(answerVersion[l])
    fi;
    answerVersion[l] = 0; answerSentAt[l] = 0
}

proctype System() {
    bool works;
    do
    :: atomic { now < HORIZON ->
        now++;
        if :: !cutOff && !secondLeads -> lastContact = now :: else fi;
        vmMayWork(works);
        assert(!(works && vmVersion < accepted && now > acceptedAt + LEASE + LEADER))
      }
    :: atomic { !cutOff -> cutOff = true }
    :: atomic { cutOff && !secondLeads && now > lastContact + ELECTION ->
        secondLeads = true; version[1] = accepted }
    /* The leader that has the quorum accepts patches. */
    :: atomic { !cutOff && !secondLeads && accepted < 2 && now < HORIZON ->
        accepted++; acceptedAt = now; version[0] = accepted }
    :: atomic { secondLeads && accepted < 2 && now < HORIZON ->
        accepted++; acceptedAt = now; version[1] = accepted }
    /* The VM asks one of the leaders; the answer may arrive late. */
    :: atomic { !answerPending[0] && now < HORIZON && LEADER_ANSWERS ->
        answerPending[0] = true; answerVersion[0] = version[0]; answerSentAt[0] = now }
    :: atomic { !answerPending[1] && secondLeads && now < HORIZON ->
        answerPending[1] = true; answerVersion[1] = version[1]; answerSentAt[1] = now }
    :: atomic { answerPending[0] -> receiveAnswer(0) }
    :: atomic { answerPending[1] -> receiveAnswer(1) }
    od
}

init { run System() }
