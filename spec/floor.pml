/*
 * Shedding of urgent work (docs/design.md, section 4): candidate 0, the collector, refuses an urgent request only after
 * all candidates have confirmed that no lower tier runs at their shards and that none is admitted for the length of a
 * lease.
 *
 * Time passes in ticks for all processes alike, but a candidate may freeze for any time, messages may be delayed or
 * lost, and the clocks of the instances are read independently.
 *
 * Candidate 2 joins: the collector's instance list shows it up to LAG ticks later.
 *
 * Defines that remove a guard: NO_SILENCE (a missing answer does not count as a confirmation), NO_SENDTIME (a
 * confirmation is valid from the time at which the question was sent), NO_WAIT (a candidate confirms only when nothing
 * lower runs), NO_LAG (a new candidate admits nothing lower until the list of every instance shows it).
 */
#define OTHERS 2    /* candidates other than the collector: candidate 1 and candidate 2, which joins */
#define LEASE 2     /* ticks for which a confirmed floor holds */
#define END 3       /* ticks until the model ends */

#define LAG 1       /* ticks until the list of every instance shows the new candidate */

#ifdef NO_LAG
#define admits(i) (true)
#else
#define admits(i) (i == 0 || now >= LAG)
#endif

byte now;
bool low[OTHERS];               /* a lower tier runs at the candidate's shards */
byte floor_until[OTHERS];       /* the candidate's floor holds while now < floor_until */
byte confirmed_until[OTHERS];   /* the collector's record: confirmed while now < confirmed_until */
bool listed;                    /* the collector's list shows the new candidate */

chan asked[OTHERS] = [1] of { byte }       /* time at which the question was sent */
chan confirmed[OTHERS] = [1] of { byte }

proctype candidate(byte i) {
	byte sent;
end:
	do
	:: atomic { asked[i]?sent ->            /* lower work is suspended, or ends, before the confirmation */
		if
#ifdef NO_WAIT
		:: true ->
#else
		:: !low[i] ->
#endif
			floor_until[i] = now + LEASE;
			if
			:: nfull(confirmed[i]) -> confirmed[i]!sent
			:: full(confirmed[i])
			:: true                     /* the answer is lost */
			fi
		:: low[i]                       /* not confirmed yet */
		:: true                         /* the message is lost, or the candidate is cut off */
		fi
	   }
	:: atomic { !low[i] && now >= floor_until[i] && admits(i) -> low[i] = true }   /* admits lower work */
	:: low[i] -> low[i] = false                                     /* the lower work ends or is suspended */
	:: now >= END -> break
	od
}

proctype collector() {
	byte i, sent;
end:
	do
	:: atomic { now < END ->
		for (i : 0 .. OTHERS - 1) {
			if
			:: nfull(asked[i]) && (i == 0 || listed) -> asked[i]!now
			:: full(asked[i]) || (i == 1 && !listed)
			fi
		}
	   }
	:: atomic { confirmed[0]?sent ->
#ifdef NO_SENDTIME
		confirmed_until[0] = now + LEASE
#else
		confirmed_until[0] = sent + LEASE
#endif
	   }
	:: atomic { confirmed[1]?sent ->
#ifdef NO_SENDTIME
		confirmed_until[1] = now + LEASE
#else
		confirmed_until[1] = sent + LEASE
#endif
	   }
#ifdef NO_SILENCE
	:: atomic { now > LEASE && confirmed_until[1] == 0 -> confirmed_until[1] = END + 1 }
#endif
	/* sheds an urgent request */
	:: atomic { now < confirmed_until[0] && (!listed || now < confirmed_until[1]) -> assert(!low[0] && !low[1]) }
	:: now >= END -> break
	od
}

proctype clock() {
	do
	:: now < END && (now + 1 < LAG || listed) -> now++
	:: !listed -> listed = true
	:: now >= END -> break
	od
}

init {
	atomic { run candidate(0); run candidate(1); run collector(); run clock() }
}
