package endpoint

import (
	"math"
	"slices"
	"time"

	"monsoondale/core"
)

// Options holds the latency targets and limits of an Account. Zero fields take defaults.
type Options struct {
	FirstTokenTarget    time.Duration // target: time to the first token beyond the request's own prefill, default 420 ms
	TokenIntervalTarget time.Duration // target: time between tokens, default 30 ms
	InitialSlots        int           // slots of an engine of which nothing has been learned, default 8
	MaxSlots            int           // upper bound of the learned slots, default 256
	ServiceSlots        int           // slots of a plain service, default 16
	FixedSlots          bool          // the number of slots stays as it is, for tests only
}

func (o Options) withDefaults() Options {
	if o.FirstTokenTarget <= 0 {
		o.FirstTokenTarget = 420 * time.Millisecond
	}
	if o.TokenIntervalTarget <= 0 {
		o.TokenIntervalTarget = 30 * time.Millisecond
	}
	if o.InitialSlots <= 0 {
		o.InitialSlots = 8
	}
	if o.MaxSlots <= 0 {
		o.MaxSlots = 256
	}
	if o.ServiceSlots <= 0 {
		o.ServiceSlots = 16
	}
	return o
}

// Priors of an engine's rates, used until enough has been observed.
const (
	priorPrefill = 8000.0 // prompt tokens per second
	priorBetween = 0.020  // seconds between tokens
)

const (
	// window is how often the slot limit and the probation are reconsidered. Shorter windows hold too few samples.
	window = time.Second
	// A sample is clipped to this factor around the estimate, so that one outlier moves it little.
	clip = 3.0
	// Smoothing of the rate estimates.
	alpha = 0.15
	// Samples needed before an endpoint is compared with the others.
	minSamples = 4
	// An endpoint is a straggler when it is this much slower than the median of its pool. Hardware generations
	// differ by about a factor of two, which must not count.
	straggler = 3.0
	// Consecutive probes within half the straggler factor that end a probation.
	goodProbes = 3
)

// Account is the owner's account of one endpoint: granted work, learned rates and slot limit, leaving state and
// probation. It is not safe for concurrent use.
type Tracker struct {
	spec Spec
	o    Options

	running int
	busy    time.Time // when the prefill of all granted work is expected to be done

	prefill float64 // prompt tokens per second
	between float64 // seconds between tokens, at the recent batch size
	alone   float64 // seconds between tokens with at most two requests, 0 if not observed
	took    float64 // seconds per request, of plain services
	samples int     // of between or took

	limit      float64
	grow       bool // still growing fast: no target was missed yet
	peak       int  // most running requests in the current window
	slow, good int  // samples in the current window that missed or met a target
	since      time.Time
	hold       time.Time // no change of the limit before this time, so that the last one can show

	probation bool
	probes    int // consecutive good probes
	judged    int // samples as of the last judgement

	failures int           // consecutive refused dials and failed requests
	culprit  core.CallerID // of the last failed request
	blocked  time.Time     // no grants before this time
	retry    bool          // blocked until the next tick after that time
	alive    time.Time     // last success or progress

	foreign  int       // running requests reported by the engine beyond the account
	reported time.Time // when foreign was last set
	peaks    [16]int32 // most running requests in the second of this index
	peakAt   int64     // second of the latest entry of peaks
}

// NewAccount returns an account without granted work.
func NewTracker(now time.Time, spec Spec, o Options) *Tracker {
	o = o.withDefaults()
	a := &Tracker{spec: spec, o: o, prefill: priorPrefill, between: priorBetween, took: 0.1, since: now, grow: true}
	a.limit = float64(o.InitialSlots)
	if spec.Service {
		a.limit = float64(o.ServiceSlots)
	}
	return a
}

// Spec returns what the instance list last said of the endpoint.
func (a *Tracker) Spec() Spec { return a.spec }

// SetSpec takes over a new entry of the instance list.
func (a *Tracker) SetSpec(s Spec) { a.spec = s }

// Running returns the number of granted and unreleased requests.
func (a *Tracker) Running() int { return a.running }

// Probation reports whether the endpoint is a straggler that only gets probes.
func (a *Tracker) OnProbation() bool { return a.probation }

// Failing reports whether the last dial was refused or the last requests of two callers failed; the endpoint then gets
// one request at a time.
func (a *Tracker) Failing() bool { return a.failures > 1 }

// Known reports whether the rates rest on enough observations to refuse requests because of them.
func (a *Tracker) RatesKnown() bool { return a.samples >= minSamples }

// Slots returns how many requests the endpoint may run at once; a leaving endpoint has none.
func (a *Tracker) Slots() int {
	switch {
	case a.spec.Leaving || a.retry:
		return 0
	case a.probation || a.Failing():
		return 1
	}
	return max(1, int(a.limit))
}

// Free returns the number of requests that can be granted now. Requests that the engine reports beyond the
// account, for example those of a second owner, reduce it.
func (a *Tracker) Free() int { return max(0, a.Slots()-a.running-a.foreign) }

// Prefill returns the learned prompt tokens per second.
func (a *Tracker) PrefillRate() float64 { return a.prefill }

// Between returns the learned seconds between tokens.
func (a *Tracker) TokenInterval() float64 { return a.between }

// Backlog returns the expected time until the prefill of all granted work is done.
func (a *Tracker) Backlog(now time.Time) time.Duration { return max(0, a.busy.Sub(now)) }

// Start returns the expected time from now to the first token of a request with that many uncached prompt tokens.
func (a *Tracker) TimeToFirstToken(now time.Time, uncached float64) float64 {
	if a.spec.Service {
		return a.took
	}
	w := uncached / a.prefill
	if d := a.busy.Sub(now); d > 0 {
		w += d.Seconds()
	}
	return w
}

// Cost weighs a placement in seconds: the expected start, plus a share of the expected decode time, which grows
// with the batch. The share is small because decode slots are bounded by the limit anyway.
func (a *Tracker) Cost(now time.Time, uncached float64, decode core.Tokens) float64 {
	occupancy := float64(a.running+1) / max(1, a.limit)
	if a.spec.Service {
		return a.took * (1 + occupancy)
	}
	return a.TimeToFirstToken(now, uncached) + 0.1*float64(decode)*a.between*(0.5+0.5*occupancy) + 0.05*occupancy
}

// Hold returns the expected slot time in seconds of a request.
func (a *Tracker) SlotTime(uncached float64, decode core.Tokens) float64 {
	if a.spec.Service {
		return a.took
	}
	return uncached/a.prefill + float64(decode)*a.between
}

// Grant accounts for a granted request and returns the prefill backlog in seconds that it waits behind.
func (a *Tracker) Grant(now time.Time, uncached float64) time.Duration {
	a.running++
	a.note(now)
	if a.spec.Service {
		return 0
	}
	wait := a.Backlog(now)
	a.busy = now.Add(wait + seconds(uncached/a.prefill))
	return wait
}

// Adopt accounts for a request that is already running.
func (a *Tracker) Adopt(now time.Time) {
	a.running++
	a.note(now)
}

// Return gives a slot back without an observation. The backlog of a request that never ran is taken off.
func (a *Tracker) Release(unstarted float64) {
	a.running--
	if unstarted > 0 && !a.spec.Service {
		a.busy = a.busy.Add(-seconds(unstarted / a.prefill))
	}
}

// Failed records a refused dial or a failed request of a caller. An endpoint that recently served others is only
// blocked after several failures in a row, since one holder may be partitioned from it. Failed requests count once
// per caller in a row, so that a caller whose requests are at fault cannot take endpoints out of service.
func (a *Tracker) RecordFailure(now time.Time, refused bool, caller core.CallerID) {
	if !refused {
		if a.failures > 0 && caller == a.culprit {
			return
		}
		a.culprit = caller
	}
	a.failures++
	if refused {
		a.failures++
	}
	if a.failures >= 4 || refused && now.Sub(a.alive) > time.Second {
		a.blocked = now.Add(time.Second << min(a.failures/2-1, 3))
		a.retry = true
	}
}

// succeeded ends the handling of failures.
func (a *Tracker) succeeded(now time.Time) { a.failures, a.retry, a.alive = 0, false, now }

// Observed is what a finished request tells about its endpoint.
type Completion struct {
	Uncached   core.Tokens   // prompt tokens that were computed
	Decode     core.Tokens   // generated tokens
	FirstToken time.Duration // from dispatch to the first token
	Total      time.Duration // from dispatch to the end
	Backlog    time.Duration // as returned by Grant
}

// Observe learns from a request that ended. Its slot is returned separately.
func (a *Tracker) RecordCompletion(now time.Time, o Completion) {
	a.succeeded(now)
	if a.spec.Service {
		if o.Total > 0 {
			a.took = blend(a.took, o.Total.Seconds(), a.samples == 0)
			a.samples++
		}
		return
	}
	if o.FirstToken > 0 && o.Uncached >= 16 {
		own := o.FirstToken.Seconds() - o.Backlog.Seconds()
		if own < o.FirstToken.Seconds()/4 {
			own = o.FirstToken.Seconds() / 4
		}
		a.prefill = blend(a.prefill, float64(o.Uncached)/own, false)
		if delay := own - float64(o.Uncached)/a.prefill; delay > a.o.FirstTokenTarget.Seconds() {
			a.slow++
		}
	}
	if o.Decode > 4 && o.Total > o.FirstToken && o.FirstToken > 0 {
		a.RecordProgress(now, o.Decode-1, o.Total-o.FirstToken)
	}
}

// Progress learns from tokens that a running request generated in a time.
func (a *Tracker) RecordProgress(now time.Time, tokens core.Tokens, took time.Duration) {
	if tokens <= 0 || took <= 0 || a.spec.Service {
		return
	}
	a.succeeded(now)
	x := took.Seconds() / float64(tokens)
	a.between = blend(a.between, x, a.samples == 0)
	a.samples++
	if a.running <= 2 && a.peak <= 2 {
		a.alone = blend(a.alone, x, a.alone == 0)
	}
	if x > a.target() {
		a.slow++
	} else {
		a.good++
	}
}

// target is the time between tokens that the limit is steered to. An engine that misses the configured target
// even with one or two requests gets a target that it can meet, since fewer slots would not make it faster.
func (a *Tracker) target() float64 { return max(a.o.TokenIntervalTarget.Seconds(), 2*a.alone) }

// Tick reconsiders the slot limit once per window: it is lowered by how far targets were missed, and raised when they were
// met at full use. Small misses lower it by little, since a cut takes the slots that waiting requests need next.
func (a *Tracker) Tick(now time.Time) {
	if a.retry && !now.Before(a.blocked) {
		a.retry = false
	}
	if now.Sub(a.since) < window {
		return
	}
	n := a.slow + a.good
	switch {
	case a.o.FixedSlots || a.spec.Service || a.probation || n < 3 || now.Before(a.hold):
	case 3*a.slow > n:
		a.limit = max(1, min(a.limit, float64(a.peak))*min(max(a.target()/a.between, 0.5), 0.97))
		a.grow = false
		a.hold = now.Add(2 * window)
	case 8*a.slow < n && float64(a.peak) >= math.Floor(a.limit):
		if a.grow = a.grow && a.between < 0.8*a.target(); a.grow {
			a.limit *= 1.25
		} else {
			a.limit += 0.5
		}
		a.limit = min(a.limit, float64(a.o.MaxSlots))
	}
	a.since, a.slow, a.good, a.peak = now, 0, 0, a.running
	if a.foreign > 0 && now.Sub(a.reported) > 3*time.Second {
		a.foreign /= 2
		a.reported = now
	}
}

// Load takes a lagged load report. The engine's count is compared with the most that the account had running
// around that time; only the excess is used.
func (a *Tracker) RecordLoad(r Report) {
	at := r.Time.Unix()
	own := int32(0)
	if at > a.peakAt {
		own = int32(a.running)
	}
	for s := at - 2; s <= at+2; s++ {
		if s <= a.peakAt && s > a.peakAt-int64(len(a.peaks)) && s >= 0 {
			own = max(own, a.peaks[s%int64(len(a.peaks))])
		}
	}
	a.foreign = max(0, r.Running+r.Waiting-int(max(own, int32(a.running))))
	a.reported = r.Time
}

// note records the number of running requests for Load and Tick.
func (a *Tracker) note(now time.Time) {
	a.peak = max(a.peak, a.running)
	s := now.Unix()
	if s > a.peakAt {
		for i := max(a.peakAt+1, s-int64(len(a.peaks))+1); i <= s; i++ {
			a.peaks[i%int64(len(a.peaks))] = int32(a.running)
		}
		a.peakAt = s
	}
	p := &a.peaks[s%int64(len(a.peaks))]
	*p = max(*p, int32(a.running))
}

// Judge compares the endpoints of a pool and puts stragglers on probation; a straggler returns to service after
// a few probes at normal speed. At most a third of the endpoints are on probation, since a change that affects
// most of them is not a straggler.
func UpdateProbation(accounts []*Tracker) {
	speeds := make([]float64, 0, len(accounts))
	prefills := make([]float64, 0, len(accounts))
	on := 0
	for _, a := range accounts {
		if a.probation {
			on++
		}
		if a.samples >= minSamples {
			speeds = append(speeds, a.pace())
			prefills = append(prefills, a.prefill)
		}
	}
	if len(speeds) < 3 {
		return
	}
	slices.Sort(speeds)
	slices.Sort(prefills)
	median, rate := speeds[len(speeds)/2], prefills[len(prefills)/2]
	for _, a := range accounts {
		if a.samples < minSamples {
			continue
		}
		bad := rate / a.prefill
		// A full batch on one engine beside idle ones is no fault while it meets the target.
		if a.spec.Service || a.between > a.o.TokenIntervalTarget.Seconds() {
			bad = max(bad, a.pace()/median)
		}
		switch {
		case !a.probation && bad > straggler && 3*(on+1) <= len(accounts):
			a.probation, a.probes = true, 0
			on++
		case a.samples == a.judged:
			// No new probe has ended.
		case a.probation && bad < straggler/2:
			if a.probes++; a.probes >= goodProbes {
				a.probation, a.grow = false, false
				a.limit = max(2, a.limit/2)
				on--
			}
		case a.probation:
			a.probes = 0
		}
		a.judged = a.samples
	}
}

// pace is the time that is compared between endpoints: seconds between tokens, or per request of a service.
func (a *Tracker) pace() float64 {
	if a.spec.Service {
		return a.took
	}
	return a.between
}

// blend moves an estimate towards a sample, which is clipped around the estimate unless it is the first one.
func blend(est, x float64, first bool) float64 {
	if first {
		return x
	}
	return est + alpha*(min(max(x, est/clip), est*clip)-est)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
