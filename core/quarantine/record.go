package quarantine

import (
	"slices"
	"time"

	"monsoondale/core"
)

const (
	// crashInterval is the shortest time between a write of the record and the next one for the sake of crashes, conclusionInterval that for
	// the sake of quarantines, releases and trials.
	crashInterval      = time.Second
	conclusionInterval = 100 * time.Millisecond
)

// Recorder decides when the record of a Ledger is written to the store, from which instances that start read what the others know. It
// is not safe for concurrent use.
type Recorder struct {
	begun   time.Time // when the last write was begun
	changes int       // of the ledger then
	// conclusions is the number of those among changes that concern quarantined parts: they are needed even if all instances
	// end at once.
	conclusions int
}

// Due reports whether the record is to be written now, and if so, takes it for written.
func (r *Recorder) Due(now time.Time, l *Ledger) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now.Sub(r.begun)
	if (l.changes == r.changes || age < crashInterval) && (l.conclusions == r.conclusions || age < conclusionInterval) {
		return false
	}
	r.begun, r.changes, r.conclusions = now, l.changes, l.conclusions
	return true
}

// Failed makes a record due again whose write has failed, after crashInterval.
func (r *Recorder) Failed() { r.changes = -1 }

// Record returns all that an instance which starts should know, as far as it fits into maxReportBytes.
func (l *Ledger) Record(now time.Time) Report {
	r := Report{Entries: l.Entries(now)}
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for _, c := range slices.Backward(l.crashes) {
		out := Crash{Process: c.Process, Ordinal: c.ordinal}
		for _, p := range c.prompts() {
			if n := promptBytes(&p); size+n <= maxReportBytes {
				size += n
				out.Prompts = append(out.Prompts, l.crashPrompt(p))
			}
		}
		if len(out.Prompts) > 0 {
			r.Crashes = append(r.Crashes, out)
		}
	}
	return r
}

// prompts returns the prompts of the requests under a crash without the parts that have been cleared.
func (c *crash) prompts() []Prompt {
	type request struct {
		Scope
		own core.PartID
	}
	shared := map[request][]core.PartID{}
	for part, v := range c.parts {
		for _, own := range v.requests {
			if r := (request{part.Scope, own}); !v.cleared {
				shared[r] = append(shared[r], part.ID)
			}
		}
	}
	var out []Prompt
	for r, ids := range shared {
		out = append(out, Prompt{Scope: r.Scope, Shared: ids, Own: r.own})
	}
	return out
}
