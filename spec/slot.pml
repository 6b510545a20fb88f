/*
 * Slots that two owners of the same shard grant to one request while the holder's instance list lags (docs/design.md,
 * sections 3 and 7).
 *
 * Each owner grants slots independently of the other. The holder asks the owner that its list shows, asks again when the
 * list changes or no answer arrives, and may hold two grants at once. A dial may be refused, so that no byte was sent, or
 * the connection may break after bytes were sent.
 *
 * Defines that remove a guard: NO_BEGIN (only one grant gets the right to dispatch), NO_PROOF (only a refused dial gives
 * the right back).
 */
#define ASKS 4

chan ask[2] = [ASKS] of { byte }
chan grant = [ASKS] of { byte, byte }      /* owner, endpoint */
chan release[2] = [ASKS * 2] of { byte }   /* endpoint */

bool begun;           /* the right to dispatch is taken, see dispatch.Attempt */
bool finished;        /* the caller has an answer */
byte dispatches;      /* requests that endpoints received */
byte used[2];         /* slots in use, as each owner counts them */
byte owner;           /* according to the holder's instance list */
byte asks = ASKS;

/* the instance list may change at any time */
proctype instance_list() {
	owner = 1;
	owner = 0
}

proctype shard_owner(byte self) {
	byte e;
	bool granted;   /* asks are idempotent: a repeated ask returns the existing grant */
	byte endpoint;
end:
	do
	:: atomic { ask[self]?_ ->
		if
		:: !granted ->
			granted = true; used[self]++;
			if
			:: endpoint = 0
			:: endpoint = 1
			fi
		:: else
		fi;
		grant!self, endpoint
	   }
	:: atomic { release[self]?e ->
		if
		:: granted -> granted = false; used[self]--
		:: else     /* repeated release */
		fi
	   }
	od
}

/* each grant is handled by a goroutine of its own */
proctype handle(byte from; byte e) {
	if
	:: atomic {
#ifdef NO_BEGIN
		!finished -> begun = true
#else
		!finished && !begun -> begun = true
#endif
	   }
		if
		:: true ->                  /* the endpoint receives the request */
			dispatches++;
			assert(dispatches <= 1);
			if
			:: finished = true      /* answered, or resumed on the same endpoint */
			:: true ->              /* the connection broke, and resuming failed */
#ifdef NO_PROOF
				begun = false
#else
				finished = true     /* answered as failed or unknown */
#endif
			fi
		:: begun = false            /* the dial was refused */
		fi
	:: finished || begun            /* the grant is not needed any more */
	fi;
	release[from]!e
}

proctype holder() {
	byte from, e, asked_owner;
	do
	:: asks > 0 && !finished -> atomic { asks--; asked_owner = owner; ask[asked_owner]!0 }
	:: grant?from, e -> run handle(from, e)
	:: asks == 0 && empty(grant) && empty(ask[0]) && empty(ask[1]) -> break
	:: finished && empty(grant) && empty(ask[0]) && empty(ask[1]) -> break
	od
}

/* when all requests and messages are handled, no slot is in use */
proctype quiescence() {
	atomic {
		_nr_pr == 4 && empty(grant) && empty(ask[0]) && empty(ask[1]) && empty(release[0]) && empty(release[1]) ->
		assert(used[0] == 0 && used[1] == 0)
	}
}

init {
	atomic {
		run shard_owner(0); run shard_owner(1); run quiescence(); run instance_list(); run holder()
	}
}
