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
	defaultPrefillRate   = 8000.0 // prompt tokens per second
	defaultTokenInterval = 0.020  // seconds between tokens
)

const (
	// window is how often the slot limit and the probation are reconsidered. Shorter windows hold too few samples.
	adjustInterval = time.Second
	// A sample is clipped to this factor around the estimate, so that one outlier moves it little.
	outlierFactor = 3.0
	// Smoothing of the rate estimates.
	smoothingFactor = 0.15
	// Samples needed before an endpoint is compared with the others.
	minSamples = 4
	// An endpoint is a straggler when it is this much slower than the median of its pool. Hardware generations
	// differ by about a factor of two, which must not count.
	stragglerFactor = 3.0
	// Consecutive probes within half the straggler factor that end a probation.
	probesToRecover = 3
)

// Account is the owner's account of one endpoint: granted work, learned rates and slot limit, leaving state and
// probation. It is not safe for concurrent use.
type Tracker struct {
	spec Spec
	opts Options

	running     int
	prefillDone time.Time // when the prefill of all granted work is expected to be done

	prefillRate   float64 // prompt tokens per second
	tokenInterval float64 // seconds between tokens, at the recent batch size
	soloInterval  float64 // seconds between tokens with at most two requests, 0 if not observed
	serviceTime   float64 // seconds per request, of plain services
	samples       int     // of between or took

	slotLimit             float64
	fastGrowth            bool // still growing fast: no target was missed yet
	peakRunning           int  // most running requests in the current window
	missedCount, metCount int  // samples in the current window that missed or met a target
	windowStart           time.Time
	limitFixedUntil       time.Time // no change of the limit before this time, so that the last one can show

	probation       bool
	goodProbes      int // consecutive good probes
	comparedSamples int // samples as of the last judgement

	failures         int           // consecutive refused dials and failed requests
	lastFailedCaller core.CallerID // of the last failed request
	blockedUntil     time.Time     // no grants before this time
	blocked          bool          // blocked until the next tick after that time
	lastSuccess      time.Time     // last success or progress

	unaccounted  int       // running requests reported by the engine beyond the account
	lastLoad     time.Time // when foreign was last set
	peakBySecond [16]int32 // most running requests in the second of this index
	peakSecond   int64     // second of the latest entry of peaks
}

// NewAccount returns an account without granted work.
func NewTracker(now time.Time, spec Spec, o Options) *Tracker {
	o = o.withDefaults()
	a := &Tracker{spec: spec, opts: o, prefillRate: defaultPrefillRate, tokenInterval: defaultTokenInterval, serviceTime: 0.1, windowStart: now, fastGrowth: true}
	a.slotLimit = float64(o.InitialSlots)
	if spec.Service {
		a.slotLimit = float64(o.ServiceSlots)
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
	case a.spec.Leaving || a.blocked:
		return 0
	case a.probation || a.Failing():
		return 1
	}
	return max(1, int(a.slotLimit))
}

// Free returns the number of requests that can be granted now. Requests that the engine reports beyond the
// account, for example those of a second owner, reduce it.
func (a *Tracker) Free() int { return max(0, a.Slots()-a.running-a.unaccounted) }

// Prefill returns the learned prompt tokens per second.
func (a *Tracker) PrefillRate() float64 { return a.prefillRate }

// Between returns the learned seconds between tokens.
func (a *Tracker) TokenInterval() float64 { return a.tokenInterval }

// Backlog returns the expected time until the prefill of all granted work is done.
func (a *Tracker) Backlog(now time.Time) time.Duration { return max(0, a.prefillDone.Sub(now)) }

// Start returns the expected time from now to the first token of a request with that many uncached prompt tokens.
func (a *Tracker) TimeToFirstToken(now time.Time, uncached float64) float64 {
	if a.spec.Service {
		return a.serviceTime
	}
	w := uncached / a.prefillRate
	if d := a.prefillDone.Sub(now); d > 0 {
		w += d.Seconds()
	}
	return w
}

// Cost weighs a placement in seconds: the expected start, plus a share of the expected decode time, which grows
// with the batch. The share is small because decode slots are bounded by the limit anyway.
func (a *Tracker) Cost(now time.Time, uncached float64, decode core.Tokens) float64 {
	occupancy := float64(a.running+1) / max(1, a.slotLimit)
	if a.spec.Service {
		return a.serviceTime * (1 + occupancy)
	}
	return a.TimeToFirstToken(now, uncached) + 0.1*float64(decode)*a.tokenInterval*(0.5+0.5*occupancy) + 0.05*occupancy
}

// Hold returns the expected slot time in seconds of a request.
func (a *Tracker) SlotTime(uncached float64, decode core.Tokens) float64 {
	if a.spec.Service {
		return a.serviceTime
	}
	return uncached/a.prefillRate + float64(decode)*a.tokenInterval
}

// Grant accounts for a granted request and returns the prefill backlog in seconds that it waits behind.
func (a *Tracker) Grant(now time.Time, uncached float64) time.Duration {
	a.running++
	a.recordPeak(now)
	if a.spec.Service {
		return 0
	}
	wait := a.Backlog(now)
	a.prefillDone = now.Add(wait + seconds(uncached/a.prefillRate))
	return wait
}

// Adopt accounts for a request that is already running.
func (a *Tracker) Adopt(now time.Time) {
	a.running++
	a.recordPeak(now)
}

// Return gives a slot back without an observation. The backlog of a request that never ran is taken off.
func (a *Tracker) Release(unstarted float64) {
	a.running--
	if unstarted > 0 && !a.spec.Service {
		a.prefillDone = a.prefillDone.Add(-seconds(unstarted / a.prefillRate))
	}
}

// Failed records a refused dial or a failed request of a caller. An endpoint that recently served others is only
// blocked after several failures in a row, since one holder may be partitioned from it. Failed requests count once
// per caller in a row, so that a caller whose requests are at fault cannot take endpoints out of service.
func (a *Tracker) RecordFailure(now time.Time, refused bool, caller core.CallerID) {
	if !refused {
		if a.failures > 0 && caller == a.lastFailedCaller {
			return
		}
		a.lastFailedCaller = caller
	}
	a.failures++
	if refused {
		a.failures++
	}
	if a.failures >= 4 || refused && now.Sub(a.lastSuccess) > time.Second {
		a.blockedUntil = now.Add(time.Second << min(a.failures/2-1, 3))
		a.blocked = true
	}
}

// succeeded ends the handling of failures.
func (a *Tracker) recordSuccess(now time.Time) { a.failures, a.blocked, a.lastSuccess = 0, false, now }

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
	a.recordSuccess(now)
	if a.spec.Service {
		if o.Total > 0 {
			a.serviceTime = smooth(a.serviceTime, o.Total.Seconds(), a.samples == 0)
			a.samples++
		}
		return
	}
	if o.FirstToken > 0 && o.Uncached >= 16 {
		own := o.FirstToken.Seconds() - o.Backlog.Seconds()
		if own < o.FirstToken.Seconds()/4 {
			own = o.FirstToken.Seconds() / 4
		}
		a.prefillRate = smooth(a.prefillRate, float64(o.Uncached)/own, false)
		if delay := own - float64(o.Uncached)/a.prefillRate; delay > a.opts.FirstTokenTarget.Seconds() {
			a.missedCount++
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
	a.recordSuccess(now)
	x := took.Seconds() / float64(tokens)
	a.tokenInterval = smooth(a.tokenInterval, x, a.samples == 0)
	a.samples++
	if a.running <= 2 && a.peakRunning <= 2 {
		a.soloInterval = smooth(a.soloInterval, x, a.soloInterval == 0)
	}
	if x > a.targetInterval() {
		a.missedCount++
	} else {
		a.metCount++
	}
}

// target is the time between tokens that the limit is steered to. An engine that misses the configured target
// even with one or two requests gets a target that it can meet, since fewer slots would not make it faster.
func (a *Tracker) targetInterval() float64 {
	return max(a.opts.TokenIntervalTarget.Seconds(), 2*a.soloInterval)
}

// Tick reconsiders the slot limit once per window: it is lowered by how far targets were missed, and raised when they were
// met at full use. Small misses lower it by little, since a cut takes the slots that waiting requests need next.
func (a *Tracker) Tick(now time.Time) {
	if a.blocked && !now.Before(a.blockedUntil) {
		a.blocked = false
	}
	if now.Sub(a.windowStart) < adjustInterval {
		return
	}
	n := a.missedCount + a.metCount
	switch {
	case a.opts.FixedSlots || a.spec.Service || a.probation || n < 3 || now.Before(a.limitFixedUntil):
	case 3*a.missedCount > n:
		a.slotLimit = max(1, min(a.slotLimit, float64(a.peakRunning))*min(max(a.targetInterval()/a.tokenInterval, 0.5), 0.97))
		a.fastGrowth = false
		a.limitFixedUntil = now.Add(2 * adjustInterval)
	case 8*a.missedCount < n && float64(a.peakRunning) >= math.Floor(a.slotLimit):
		if a.fastGrowth = a.fastGrowth && a.tokenInterval < 0.8*a.targetInterval(); a.fastGrowth {
			a.slotLimit *= 1.25
		} else {
			a.slotLimit += 0.5
		}
		a.slotLimit = min(a.slotLimit, float64(a.opts.MaxSlots))
	}
	a.windowStart, a.missedCount, a.metCount, a.peakRunning = now, 0, 0, a.running
	if a.unaccounted > 0 && now.Sub(a.lastLoad) > 3*time.Second {
		a.unaccounted /= 2
		a.lastLoad = now
	}
}

// Load takes a lagged load report. The engine's count is compared with the most that the account had running
// around that time; only the excess is used.
func (a *Tracker) RecordLoad(r Report) {
	at := r.Time.Unix()
	own := int32(0)
	if at > a.peakSecond {
		own = int32(a.running)
	}
	for s := at - 2; s <= at+2; s++ {
		if s <= a.peakSecond && s > a.peakSecond-int64(len(a.peakBySecond)) && s >= 0 {
			own = max(own, a.peakBySecond[s%int64(len(a.peakBySecond))])
		}
	}
	a.unaccounted = max(0, r.Running+r.Waiting-int(max(own, int32(a.running))))
	a.lastLoad = r.Time
}

// note records the number of running requests for Load and Tick.
func (a *Tracker) recordPeak(now time.Time) {
	a.peakRunning = max(a.peakRunning, a.running)
	s := now.Unix()
	if s > a.peakSecond {
		for i := max(a.peakSecond+1, s-int64(len(a.peakBySecond))+1); i <= s; i++ {
			a.peakBySecond[i%int64(len(a.peakBySecond))] = int32(a.running)
		}
		a.peakSecond = s
	}
	p := &a.peakBySecond[s%int64(len(a.peakBySecond))]
	*p = max(*p, int32(a.running))
}

// Judge compares the endpoints of a pool and puts stragglers on probation; a straggler returns to service after
// a few probes at normal speed. At most a third of the endpoints are on probation, since a change that affects
// most of them is not a straggler.
func UpdateProbation(trackers []*Tracker) {
	unitTimes := make([]float64, 0, len(trackers))
	prefillRates := make([]float64, 0, len(trackers))
	onProbation := 0
	for _, a := range trackers {
		if a.probation {
			onProbation++
		}
		if a.samples >= minSamples {
			unitTimes = append(unitTimes, a.unitTime())
			prefillRates = append(prefillRates, a.prefillRate)
		}
	}
	if len(unitTimes) < 3 {
		return
	}
	slices.Sort(unitTimes)
	slices.Sort(prefillRates)
	medianTime, medianRate := unitTimes[len(unitTimes)/2], prefillRates[len(prefillRates)/2]
	for _, a := range trackers {
		if a.samples < minSamples {
			continue
		}
		slowdown := medianRate / a.prefillRate
		// A full batch on one engine beside idle ones is no fault while it meets the target.
		if a.spec.Service || a.tokenInterval > a.opts.TokenIntervalTarget.Seconds() {
			slowdown = max(slowdown, a.unitTime()/medianTime)
		}
		switch {
		case !a.probation && slowdown > stragglerFactor && 3*(onProbation+1) <= len(trackers):
			a.probation, a.goodProbes = true, 0
			onProbation++
		case a.samples == a.comparedSamples:
			// No new probe has ended.
		case a.probation && slowdown < stragglerFactor/2:
			if a.goodProbes++; a.goodProbes >= probesToRecover {
				a.probation, a.fastGrowth = false, false
				a.slotLimit = max(2, a.slotLimit/2)
				onProbation--
			}
		case a.probation:
			a.goodProbes = 0
		}
		a.comparedSamples = a.samples
	}
}

// pace is the time that is compared between endpoints: seconds between tokens, or per request of a service.
func (a *Tracker) unitTime() float64 {
	if a.spec.Service {
		return a.serviceTime
	}
	return a.tokenInterval
}

// blend moves an estimate towards a sample, which is clipped around the estimate unless it is the first one.
func smooth(est, x float64, first bool) float64 {
	if first {
		return x
	}
	return est + smoothingFactor*(min(max(x, est/outlierFactor), est*outlierFactor)-est)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
