/*
 * Configuration edits and their spread (docs/design.md, section 3.4).
 *
 * Two editors update one object by conditional updates whose answers can be
 * lost. Reads can return any older version. Two hosts put versions in force,
 * restart with empty memory, and get versions from each other and the store.
 *
 * Properties: an edit that is reported as accepted is in the object, one that is
 * reported as failed is not, none is applied twice; the version in force at a
 * host never goes back, also across its restarts.
 *
 * Variants with one guard removed, each of which must fail:
 *   ASSUME_FAILED   a lost answer counts as failed when a read lacks the edit
 *   ANY_VERSION     an older object replaces a newer one
 *   NO_CONFIRMATION a restarted host uses a version that it only read
 */
#define MAX_VERSION 3

byte version = 1;
/* Editor (1 or 2) that wrote each version; 0 for the initial one. */
byte writer[MAX_VERSION + 1];
/* Number of times that each editor's edit took effect. */
byte applied[3];

byte in_force[2];
byte highest[2];

/* A read returns the current version or any older one. */
inline read_store(result)
{
    result = 1;
    do
    :: result < version -> result++
    :: break
    od
}

proctype editor(byte me)
{
    byte base;
    byte seen;
    bool answered;
    bool ambiguous = false;
    atomic { read_store(base) };
    if
    :: base == MAX_VERSION -> goto done
    :: else
    fi;
try:
    atomic {
        if
        :: version == base && version < MAX_VERSION ->
            version++; writer[version] = me; applied[me]++;
            assert(applied[me] == 1);
            if
            :: answered = true
            :: answered = false
            fi
        :: version != base ->
            /*
             * The conflict is reported, or its answer is lost. After an
             * ambiguous attempt it may be a conflict with the own edit.
             */
            if
            :: !ambiguous -> goto failed
            :: answered = false
            fi
        fi
    };
    if
    :: answered -> goto accepted
    :: else -> ambiguous = true
    fi;
    atomic { read_store(seen) };
    if
    :: seen > base && writer[base + 1] == me -> goto accepted
    :: seen > base && writer[base + 1] != me -> goto failed
    :: else ->
#ifdef ASSUME_FAILED
        goto failed
#else
        /* The read may be stale. The same conditional update settles it. */
        goto try
#endif
    fi;
accepted:
    assert(applied[me] == 1);
    goto done;
failed:
    assert(applied[me] == 0);
done:
    skip
}

inline put_in_force(host, found)
{
    in_force[host] = found;
    assert(found >= highest[host]);
    highest[host] = found
}

proctype daemon(byte me)
{
    byte found;
    byte restarts = 0;
    do
    :: in_force[me] == 0 ->
        /* Just started: peer first, then the store, then confirmation. */
        atomic {
            read_store(found);
            if
            :: in_force[1 - me] > found -> found = in_force[1 - me]
            :: else
            fi
        };
        atomic {
#ifndef NO_CONFIRMATION
            if
            :: found == version -> put_in_force(me, found)
            :: else
            fi;
#else
            put_in_force(me, found);
#endif
            found = 0
        }
    :: in_force[me] > 0 ->
        atomic {
            read_store(found);
            if
#ifdef ANY_VERSION
            :: true -> put_in_force(me, found)
#else
            :: found > in_force[me] -> put_in_force(me, found)
            :: else
#endif
            fi;
            found = 0
        }
    :: atomic { in_force[me] > 0 && in_force[1 - me] > in_force[me] ->
        put_in_force(me, in_force[1 - me]) }
    :: restarts < 2 -> atomic { restarts++; in_force[me] = 0 }
    :: version == MAX_VERSION -> break
    od
}

init
{
    atomic {
        run editor(1);
        run editor(2);
        run daemon(0);
        run daemon(1)
    }
}
