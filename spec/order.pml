/*
 * One order key and three attempts to run its order, by holders on different instances (docs/design.md, section 5).
 *
 * A claim is a conditional write of the head object. The answer to the write may be lost, the write may be lost, or it
 * may take effect late. Holders may be killed or pause at any point, also for longer than their ticket is valid.
 *
 * Defines that remove a guard: NO_CONDITION (writes are conditional on the version), NO_ATTEMPT (reading back compares
 * the attempt's id), NO_TICKET (a claim may be used only while its ticket is valid), NO_VOID (an attempt that was
 * answered "not run" is voided).
 */
#ifndef A
#define A 3       /* attempts */
#endif
#ifndef FAULTS
#define FAULTS 1  /* lost or late writes */
#endif

mtype = { none, claimed, done, voided }

/* the head object: its version, the current attempt, and a bit set of voided earlier attempts */
byte version, cur, voided_set;
mtype state = none;

byte faults = FAULTS;
bool expired[A + 1];        /* the ticket has expired by the holder's clock */
bool notrun[A + 1];         /* the caller was told that the attempt was not run */
bool told[A + 1];           /* a repeat was answered "unknown, holder gone" after the expiry */
bool killed[A + 1];
byte dispatched, ended;

chan late = [FAULTS] of { byte, byte, mtype, byte }

inline apply(v, c, s, p, ok) {
	if
#ifdef NO_CONDITION
	:: true ->
#else
	:: version == v ->
#endif
		version++; cur = c; state = s; voided_set = p; ok = true
#ifndef NO_CONDITION
	:: else -> ok = false
#endif
	fi
}

/* a write sets ok if it took effect and the writer knows it, and unknown if the writer does not know whether it did */
inline write(c, s, p) {
	atomic {
		ok = false; unknown = false;
		if
		:: apply(rv, c, s, p, ok)
		:: faults > 0 -> faults--; apply(rv, c, s, p, ok); ok = false; unknown = true
		:: faults > 0 -> faults--; unknown = true
		:: faults > 0 -> faults--; late!rv, c, s, p; unknown = true
		fi
	}
}

inline read() {
	d_step { rv = version; rc = cur; rs = state; rp = voided_set }
}

#define bit(x) (1 << (x))

proctype attempt(byte id) {
	byte rv, rc, rp;
	mtype rs;
	bool ok, unknown;

claim_step:
	read();
	if
	:: rc == 0 -> write(id, claimed, rp)
	:: rs == voided -> write(id, claimed, rp | bit(rc))
	:: rs == done -> goto finish       /* the recorded result is returned */
	:: rs == claimed && rc == id -> goto dispatch_step
	:: rs == claimed && rc != id ->
		atomic {
			if
			:: expired[rc] -> told[rc] = true
			:: true         /* in progress */
			fi
		}
		goto finish
	fi;
	if
	:: ok -> goto dispatch_step
	:: !ok && !unknown -> goto claim_step
	:: unknown ->
		if
		:: true ->
			read();
			if
#ifdef NO_ATTEMPT
			:: rs == claimed -> goto dispatch_step
#else
			:: rs == claimed && rc == id -> goto dispatch_step
#endif
			:: else -> goto claim_step
			fi
		:: goto give_up  /* the object API does not answer in time */
		fi
	fi;

dispatch_step:
	if
	:: atomic {
#ifdef NO_TICKET
		true ->
#else
		!expired[id] ->
#endif
		assert(!notrun[id]);
		assert(!told[id]);          /* no dispatch after the answer "unknown": what the caller then checks is final */
		}
		if
		:: true ->
			dispatched++;
			assert(dispatched <= 1)
		:: goto give_up              /* the dial was refused: no byte was sent */
		fi
	:: expired[id] -> goto give_up
	:: killed[id] = true -> goto finish
	fi;

	do                              /* records the result */
	:: read();
		if
		:: rc == id && rs == claimed ->
			write(id, done, rp);
			if
			:: ok -> break
			:: else
			fi
		:: else -> break
		fi
	:: killed[id] = true -> break
	od;
	goto finish;

give_up:
	notrun[id] = true;
#ifndef NO_VOID
	do
	:: read();
		if
		:: (rp & bit(id)) || (rc == id && rs == voided) -> break
		:: rc != id && rs == done -> break      /* a late claim would fail because of its version */
		:: rc == 0 || (rc == id && rs == claimed) -> write(id, voided, rp)
		:: rc != 0 && rc != id && rs != done && !(rp & bit(id)) -> write(rc, rs, rp | bit(id))
		:: rc == id && rs == done -> assert(false)
		fi;
		if
		:: ok -> break
		:: else
		fi
	od;
#endif

finish:
	ended++
}

/* applies late writes at any time, or never */
proctype network() {
	byte v, c, p;
	mtype s;
	bool ok;
end:
	do
	:: atomic { late?v, c, s, p -> apply(v, c, s, p, ok) }
	od
}

proctype clock() {
	byte i;
	for (i : 1 .. A) {
		expired[i] = true
	}
}

/* when all attempts have ended, the key is usable again unless its order ran or a holder was killed */
proctype quiescence() {
	atomic {
		ended == A && empty(late) ->
		assert(!(state == claimed && notrun[cur] && !killed[cur]))
	}
}

init {
	byte i;
	atomic {
		for (i : 1 .. A) {
			run attempt(i)
		}
		run network(); run clock();
#ifndef NO_CONDITION    /* with NO_CONDITION the violation to find is a second dispatch */
		run quiescence()
#endif
	}
}
