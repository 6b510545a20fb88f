/*
 * Commands to two engines under a lease (docs/design.md, section 7). Engine 0 checks the fence of a command, engine 1
 * ignores it. Two controllers compete for the lease of the pool. A controller may pause at any time, and its commands
 * may arrive late.
 *
 * Defines that remove a guard: NO_FENCE (engine 0 checks the fence), NO_READBACK (the holder reads back what the engines
 * carry and repeats commands that differ), NO_WAIT (a new holder waits until the lease object has not changed for the
 * length of a lease), NO_EXPIRY (a holder sends only before the end of its lease by its own clock).
 */
#define LEASE 2     /* ticks for which a lease is valid at its holder */
#define MARGIN 1    /* a new holder waits LEASE + MARGIN ticks */
#define MAX_FENCE 2     /* highest fence */
#define MAX_VERSION 3   /* writes of the lease object: acquisitions and renewals */
#define END 6       /* ticks until the model ends */

#ifdef NO_WAIT
#define lease_free true
#else
#define lease_free (fence == 0 || now >= seen_at + LEASE + MARGIN)
#endif
#ifdef NO_READBACK
#define outdated(e) (!commanded[e])
#else
#define outdated(e) (carries[e] != mine)
#endif
#ifdef NO_EXPIRY
#define lease_valid (mine > 0)
#else
#define lease_valid (mine > 0 && now < expiry[self])
#endif

byte now;
byte fence, version;    /* the lease object; version changes with each write */
byte expiry[2];         /* end of the controller's lease by its own clock */
byte carries[2];        /* fence of the last command that each engine carried out; it stands for the desired state */

chan command[4] = [1] of { byte }       /* controller * 2 + engine */

proctype controller(byte self) {
	byte seen, seen_at, mine, sent, expected;
	bool commanded[2];
	do
	:: now >= END -> break
	/* observes a change of the lease object, at a time by its own clock */
	:: d_step { version != seen -> seen = version; seen_at = now }
	/* acquires the lease with a conditional write; the lease is valid from the time of sending */
	:: d_step { mine == 0 && sent == 0 && version == seen && fence < MAX_FENCE && version < MAX_VERSION && lease_free -> sent = now + 1; expected = seen }
	:: d_step { sent > 0 && version == expected ->
		fence++; version++; seen = version; seen_at = now; mine = fence; expiry[self] = sent - 1 + LEASE; sent = 0;
		commanded[0] = false; commanded[1] = false;
		assert(now >= expiry[1 - self])     /* one holder at a time */
	   }
	:: d_step { sent > 0 && version != expected -> sent = 0 }     /* conflict */
	/* renews the lease */
	:: d_step { lease_valid && version == seen && version < MAX_VERSION -> version++; seen = version; seen_at = now; expiry[self] = now + LEASE }
	/* sends a command, or sends it again after reading back */
	:: atomic { lease_valid && outdated(0) && nfull(command[self * 2]) ->
		assert(now < expiry[self]);
		commanded[0] = true; command[self * 2]!mine
	   }
	:: atomic { lease_valid && outdated(1) && nfull(command[self * 2 + 1]) ->
		assert(now < expiry[self]);
		commanded[1] = true; command[self * 2 + 1]!mine
	   }
	/* once late commands have arrived and the holder has nothing to send, both engines are in the desired state */
	:: d_step { lease_valid && mine == fence && !outdated(0) && !outdated(1) && empty(command[0]) && empty(command[1]) && empty(command[2]) && empty(command[3]) ->
		assert(carries[0] == mine && carries[1] == mine)
	   }
	/* notices the end of its lease */
	:: d_step { mine > 0 && now >= expiry[self] -> mine = 0 }
	od
}

inline receive(c) {
	atomic { command[c]?f ->
		if
#ifndef NO_FENCE
		:: checks && f < carries[e]             /* refused */
		:: else ->
#else
		:: true ->
#endif
			assert(!checks || f >= carries[e]);     /* an engine that checks never carries out an older command */
			carries[e] = f
		fi
	}
}

proctype engine(byte e; bool checks) {
	byte f;
end:
	do
	:: receive(e)
	:: receive(2 + e)
	od
}

proctype clock() {
	do
	:: now < END -> now++
	:: else -> break
	od
}

init {
	atomic { run controller(0); run controller(1); run engine(0, true); run engine(1, false); run clock() }
}
