/*
 * The at-most-once claim of a dispatch (docs/design.md, section 3.5).
 *
 * The caller sends the same key to three hosts, one after another or at once.
 * Answers of the store can be lost, reads can be stale, each host can die
 * between any two steps, and the leaf can refuse, run, or run with its answer
 * lost.
 *
 * Properties: the leaf runs the request at most once; no caller is told "not
 * run" of a request that has run or runs later.
 *
 * Variants with one guard removed, each of which must fail:
 *   ASSUME_OWN      a lost answer to the claim counts as success
 *   RELEASE_UNKNOWN an unknown outcome releases the claim
 *   NOT_RUN_EARLY   a refusal before the claim is certain says "not run"
 */
#define HOSTS 3

mtype = { ABSENT, CLAIMED, DONE, RELEASED };

mtype state = ABSENT;
byte holder = 0;
byte version = 0;

byte runs = 0;
/* True once a caller was told "not run" with nothing claimed after it. */
bool told_not_run = false;

inline run_once()
{
    runs++;
    assert(runs <= 1);
    assert(!told_not_run)
}

inline tell_not_run()
{
    assert(runs == 0);
    told_not_run = true
}

proctype host(byte me)
{
    byte base;
    bool certain = false;
    byte tries = 0;

    /* A host may die, or the store be down, before anything is written. */
    if
    :: goto dead
    :: goto refuse_early
    :: skip
    fi;

claim:
    tries++;
    atomic {
        if
        :: true ->
            /* The request to the store is lost. */
            certain = false
        :: state == ABSENT || state == RELEASED ->
            state = CLAIMED; holder = me; version++;
            /* A new attempt replaces what earlier callers were told. */
            told_not_run = false;
            if
            :: certain = true
            :: certain = false
            fi
        :: state == CLAIMED && holder == me ->
            /* The repeated update finds its own claim. */
            certain = true
        :: (state == CLAIMED && holder != me) || state == DONE ->
            /* Another attempt holds or finished the request. */
            goto refuse_claimed
        fi
    };
#ifdef ASSUME_OWN
    certain = true;
#endif
    if
    :: certain -> skip
    :: !certain && tries < 2 -> goto claim
    :: !certain -> goto refuse_early
    fi;

    if
    :: goto dead
    :: skip
    fi;

    /* Send. */
    if
    :: atomic { run_once() }; goto record_done
    :: atomic { run_once() };
       /* The answer is lost. */
#ifdef RELEASE_UNKNOWN
       goto release
#else
       goto dead
#endif
    :: goto release_not_run
    fi;

record_done:
    atomic { state == CLAIMED && holder == me -> state = DONE; version++ };
    goto dead;

release_not_run:
    atomic { tell_not_run() };
#ifdef RELEASE_UNKNOWN
release:
#endif
    if
    :: atomic { state == CLAIMED && holder == me ->
                state = RELEASED; version++ }
    :: skip
    fi;
    goto dead;

refuse_early:
#ifdef NOT_RUN_EARLY
    atomic { tell_not_run() };
#endif
    skip;

refuse_claimed:
    /* "Outcome unknown", or the recorded result. */
    skip;

dead:
    skip
}

init
{
    atomic { run host(1); run host(2); run host(3) }
}
