/*
 * Acceptance and distribution of one configuration object (docs/design.md, section 6).
 *
 * Two operators change the object with conditional writes whose answers may be lost. Three instances learn versions
 * from the object API or by gossip, which may be delayed. They may restart while the object API is down.
 *
 * Defines that remove a guard: NO_CONDITION (writes are conditional on the version), NO_ID (reading back compares the
 * unique id of the change), NO_ORDER (only higher versions are applied), NO_READY (an instance without a configuration
 * is not ready), NO_ASK (a gossip message that was not asked for, and may be old, does not make an instance ready).
 */
#define INSTANCES 3
#define WRITES 3    /* versions in the history */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef GOSSIP
#define GOSSIP 1    /* gossip messages */
#endif

byte version = 1;           /* of the object in the API */
byte change[WRITES + 1];    /* id of the change that wrote each version, 0 for the initial one */
byte base[WRITES + 1];      /* version that the operator had read before the change */
bool down;
#ifndef LOST
#define LOST 1        /* lost answers or writes */
#endif
byte lost = LOST, outages = 1, restarts = RESTARTS, messages = GOSSIP;

byte applied[INSTANCES];            /* version in force, 0 for none */
bool ready[INSTANCES];
byte forced = 1;            /* highest version that was in force on all instances at the same time */

chan gossip[GOSSIP] = [1] of { byte, byte }     /* receiver, version; one channel for each message, so that each may be late */

#ifdef NO_ASK
#define gossip_makes_ready true
#else
#define gossip_makes_ready false
#endif

#define min3(a, b, c) ((a) < (b) -> ((a) < (c) -> (a) : (c)) : ((b) < (c) -> (b) : (c)))

/* runs in the same atomic step as each change of applied or ready */
inline check() {
	if
	:: ready[0] && ready[1] && ready[2] && min3(applied[0], applied[1], applied[2]) > forced ->
		forced = min3(applied[0], applied[1], applied[2])
	:: else
	fi;
	assert(!ready[0] || applied[0] >= forced);
	assert(!ready[1] || applied[1] >= forced);
	assert(!ready[2] || applied[2] >= forced)
}

inline apply(i, v, makes_ready) {
	if
#ifdef NO_ORDER
	:: true ->
#else
	:: v > applied[i] ->
#endif
		assert(v >= applied[i]);        /* a version never reverts */
		applied[i] = v
#ifndef NO_ORDER
	:: else
#endif
	fi;
	if
	:: makes_ready -> ready[i] = true
	:: else
	fi;
	check()
}

proctype operator(byte id) {
	byte v, n;
	bool ok, unknown, was;
	byte tries = 2;

retry:
	atomic { !down -> v = version }
	atomic {
		ok = false; unknown = false;
		if
#ifdef NO_CONDITION
		:: !down ->
#else
		:: !down && version == v ->
#endif
			version++;
			change[version] = id; base[version] = v;
			/* a change that is based on an older version would silently undo an accepted one */
			assert(base[version] == version - 1);
			ok = true;
			if
			:: lost > 0 -> lost--; unknown = true; ok = false
			:: true
			fi
		:: !down && lost > 0 -> lost--; unknown = true     /* the write is lost */
#ifndef NO_CONDITION
		:: !down && version != v        /* conflict: reported to the operator */
#endif
		:: down                         /* refused: not written */
		fi
	}
	if
	:: ok -> goto accepted
	:: unknown ->
		if
		:: atomic { !down ->            /* reads back */
			n = version; was = false;
			do
			:: n > v -> was = was || change[n] == id; n--
			:: else -> break
			od;
			if
#ifdef NO_ID
			:: version > v -> goto accepted
#else
			:: was && change[version] == id -> goto accepted
#endif
			:: else
			fi
		   }
		:: true                         /* answered as unknown */
		fi
	:: else ->
		if
		:: tries > 1 && version < WRITES -> tries--; goto retry
		:: true
		fi
	fi;
	goto out;

accepted:
	/* an accepted change must be in the object's history */
	atomic {
		n = version; was = false;
		do
		:: n > 1 -> was = was || change[n] == id; n--
		:: else -> break
		od;
		assert(was)
	}
out:
	atomic { v = 0; n = 0; ok = false; unknown = false; was = false; tries = 0 }
}

proctype instance(byte i) {
	byte v;
end:
	do
	:: atomic { !down && (applied[i] != version || !ready[i]) -> v = version; apply(i, v, true); v = 0 }     /* watch or read */
	:: atomic { messages > 0 && ready[i] -> messages--;
		if
		:: gossip[messages]!((i + 1) % INSTANCES), applied[i]
		:: gossip[messages]!((i + 2) % INSTANCES), applied[i]
		fi
	   }
	:: atomic { gossip[0]?eval(i), v -> apply(i, v, gossip_makes_ready); v = 0 }
	:: atomic { restarts > 0 && ready[i] -> restarts--; applied[i] = 0;
#ifdef NO_READY
		ready[i] = true;
		check()
#else
		ready[i] = false
#endif
	   }
	/* an instance that starts during an outage takes the highest version of the ready peers */
	:: atomic { down && !ready[i] && (ready[(i + 1) % INSTANCES] || ready[(i + 2) % INSTANCES]) ->
		v = 0;
		if
		:: ready[(i + 1) % INSTANCES] -> v = applied[(i + 1) % INSTANCES]
		:: else
		fi;
		if
		:: ready[(i + 2) % INSTANCES] && applied[(i + 2) % INSTANCES] > v -> v = applied[(i + 2) % INSTANCES]
		:: else
		fi;
		if
		:: v > 0 -> apply(i, v, true)
		:: else
		fi;
		v = 0
	   }
	od
}

proctype api_outage() {
	do
	:: outages > 0 -> outages--; down = true; down = false
	:: true -> break
	od
}

init {
	atomic {
		applied[0] = 1; applied[1] = 1; applied[2] = 1;
		ready[0] = true; ready[1] = true; ready[2] = true;
		run instance(0); run instance(1); run instance(2);
		run api_outage(); run operator(1); run operator(2)
	}
}
