/*
 * Slot ownership under the zone lease (docs/design.md, section 3.1).
 *
 * Member A owns a leaf in epoch 1. Members B and C can commit epoch 2, in which
 * B owns it. Time is discrete. Every interleaving stands for pauses of any
 * length: between the check and the send of a call, between the parts of a
 * renewal, and between a promise and its receipt.
 *
 * Property: the leaf never runs more calls at once than it has slots.
 *
 * Variants with one guard removed, each of which must fail:
 *   NO_HOLD_BACK     the new owner starts as soon as it learns of its epoch
 *   NO_RESERVE       the new owner does not leave the residual slot free
 *   STILL_PROMISING  a member goes on promising after it sent a proposal
 *   RENEW_BY_READ    a read, which can be stale, counts as a renewal
 *   NO_CALL_DEADLINE the leaf runs a call that was sent after its deadline
 */
#define SLOTS 2
#define LEASE 2
#define CALL 1
#define END_OF_TIME 7

#ifdef NO_HOLD_BACK
#define HOLD_BACK 0
#else
#define HOLD_BACK (LEASE + CALL)
#endif

#ifdef NO_RESERVE
#define RESERVED 0
#else
#define RESERVED 1
#endif

byte now = 1;
byte epoch = 1;

/* Calls that the leaf runs: number per owner and latest deadline. */
byte running_a = 0;
byte running_b = 0;
byte deadline_a[2];
byte deadline_b[2];
/* Calls of A between their check and their send. */
byte pending_a = 0;

/* Newest evidence of A for epoch 1, from either source; 0 for none. */
byte evidence = 0;

/* Whether B and C promise not to propose. */
bool b_promises = true;
bool c_promises = true;

bool a_released = false;
bool a_knows_epoch_2 = false;

#define FRESH (evidence > 0 && now < evidence + LEASE)
#define EXPIRED(i) \
    ((running_a > i && deadline_a[i] <= now) || \
     (running_b > i && deadline_b[i] <= now))

#define CHECK_SLOTS assert(running_a + running_b <= SLOTS)

/* A running call ends at its deadline at the latest. */
active proctype clock()
{
    do
    :: atomic { now < END_OF_TIME && !EXPIRED(0) && !EXPIRED(1) -> now++ }
    :: now == END_OF_TIME -> break
    od
}

/* One call slot of owner A: check, then send. Two instances run. */
active [2] proctype caller_a()
{
    byte until;
    do
    :: atomic {
        !a_knows_epoch_2 && (FRESH || (evidence > 0 && running_a + pending_a == 0)) &&
        running_a + pending_a < SLOTS && now < END_OF_TIME ->
        until = now + CALL; pending_a++
       }
       /* A pause can happen here. */
       atomic {
#ifndef NO_CALL_DEADLINE
        if
        :: now < until ->
            deadline_a[running_a] = until; running_a++; CHECK_SLOTS
        :: else
        fi
#else
        deadline_a[running_a] = now + CALL; running_a++; CHECK_SLOTS;
#endif
        until = 0; pending_a--
       }
    :: atomic { running_a > 0 -> running_a--; deadline_a[running_a] = 0 }
    :: now == END_OF_TIME -> break
    od
}

inline take_evidence(moment)
{
    if
    :: moment > evidence -> evidence = moment
    :: else
    fi
}

/* A's evidence by renewal: the time before the conditional update is sent. */
active proctype renew()
{
    byte sent;
    do
    :: atomic { now < END_OF_TIME -> sent = now };
       atomic {
#ifndef RENEW_BY_READ
        if
        :: epoch == 1 -> take_evidence(sent)
        :: else
        fi;
#else
        take_evidence(sent);
#endif
        sent = 0
       }
    :: now == END_OF_TIME -> break
    od
}

/*
 * A asks B and C for promises; their answers may come much later. A member that
 * is dead or cut off is one whose step is never taken.
 */
active proctype ask()
{
    byte asked;
    bool promised;
    do
    :: atomic { now < END_OF_TIME -> asked = now };
       atomic { promised = b_promises };
       atomic {
        if
        :: promised && c_promises -> take_evidence(asked)
        :: else
        fi;
        asked = 0;
        promised = false
       }
    :: now == END_OF_TIME -> break
    od
}

/*
 * Either B or C proposes epoch 2. It stops promising before it sends, so every
 * promise was asked for before the commit, like every renewal. The hold-back
 * therefore covers both, and the proposer need not wait.
 */
active proctype propose()
{
#ifndef STILL_PROMISING
    if
    :: b_promises = false
    :: c_promises = false
    fi;
#endif
    atomic { epoch = 2 }
}

/* The new owner B, with what the other members leave free. */
active proctype caller_b()
{
    byte learned;
    byte limit;
    atomic { epoch == 2 -> learned = now };
    do
    :: atomic {
        (a_released || now >= learned + HOLD_BACK) && now < END_OF_TIME ->
        limit = (a_released -> SLOTS : SLOTS - RESERVED);
        if
        :: running_b < limit ->
            deadline_b[running_b] = now + CALL; running_b++; CHECK_SLOTS
        :: else
        fi;
        limit = 0
       }
    :: atomic { running_b > 0 -> running_b--; deadline_b[running_b] = 0 }
    :: now == END_OF_TIME -> break
    od
}

/*
 * A may learn of epoch 2 and is released once nothing of it is in flight. A
 * call between its check and its send counts as in flight.
 */
active proctype release()
{
    if
    :: atomic { epoch == 2 -> a_knows_epoch_2 = true };
       atomic {
        running_a + pending_a == 0 ->
        a_released = true
       }
    :: now == END_OF_TIME
    fi
}
