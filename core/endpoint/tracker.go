package endpoint

import (
	"math"
	"slices"
	"time"

	"monsoondale/core"
)

// Options holds the latency targets and limits of a Tracker. Zero fields take the defaults given with them.
type Options struct {
	FirstTokenTarget    time.Duration // time to the first token beyond the prefill of the request itself, default 420 ms
	TokenIntervalTarget time.Duration // time between tokens, default 30 ms
	InitialSlots        int           // slots of an engine before its limit is learned, default 8
	MaxSlots            int           // maximum of the learned slot limit, default 256
	ServiceSlots        int           // slots of a plain service, default 16
	FixedSlots          bool          // disables the adjustment of the slot limit, for tests only
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

// Rates of an engine before any observation.
const (
	defaultPrefillRate   = 8000.0 // prompt tokens per second
	defaultTokenInterval = 0.020  // seconds between tokens
)

const (
	// adjustInterval is the time between adjustments of the slot limit. A shorter one yields too few samples.
	adjustInterval = time.Second
	// outlierFactor limits how far a sample may differ from the estimate, so that a single outlier has little effect.
	outlierFactor = 3.0
	// smoothingFactor is the weight of one sample in the rate estimates.
	smoothingFactor = 0.15
	// minSamples is the number of samples before an endpoint is compared with the others.
	minSamples = 4
	// stragglerFactor is how many times slower than the median of its shard a straggler is. Hardware generations differ
	// by a factor of about two, which must not count.
	stragglerFactor = 3.0
	// probesToRecover is the number of consecutive probes within half of stragglerFactor that end a probation.
	probesToRecover = 3
)

// Tracker tracks one endpoint for the owner of its shard: granted work, learned rates and slot limit, failures and
// probation. It is not safe for concurrent use.
type Tracker struct {
	spec Spec
	opts Options

	running     int
	prefillDone time.Time // when the prefill of all granted work is expected to be done

	prefillRate   float64 // prompt tokens per second
	tokenInterval float64 // seconds between tokens at recent batch sizes
	soloInterval  float64 // seconds between tokens with at most two running requests, 0 if not observed
	serviceTime   float64 // seconds per request of a plain service
	samples       int     // of tokenInterval or serviceTime

	slotLimit             float64
	fastGrowth            bool // the limit grows exponentially, until the targets are missed or nearly missed
	peakRunning           int  // maximum of running in the current window
	missedCount, metCount int  // samples in the current window that missed and met a target
	windowStart           time.Time
	limitFixedUntil       time.Time // the last change of the limit must take effect before the next one

	probation       bool
	goodProbes      int // consecutive probes at normal speed
	comparedSamples int // samples as of the last UpdateProbation

	failures         int // consecutive refused dials and failed requests
	lastFailedCaller core.CallerID
	blockedUntil     time.Time // earliest end of the block
	blocked          bool      // no grants until the first tick after blockedUntil
	lastSuccess      time.Time // last completion or progress

	unaccounted  int       // requests that the engine reports beyond those granted here
	lastLoad     time.Time // when unaccounted was last updated
	peakBySecond [16]int32 // maximum of running per second, a ring buffer
	peakSecond   int64     // second of the latest entry of peakBySecond
}

// NewTracker returns a Tracker without granted work.
func NewTracker(now time.Time, spec Spec, o Options) *Tracker {
	o = o.withDefaults()
	t := &Tracker{spec: spec, opts: o, prefillRate: defaultPrefillRate, tokenInterval: defaultTokenInterval, serviceTime: 0.1, windowStart: now, fastGrowth: true}
	t.slotLimit = float64(o.InitialSlots)
	if spec.Service {
		t.slotLimit = float64(o.ServiceSlots)
	}
	return t
}

// Spec returns the current entry of the instance list.
func (t *Tracker) Spec() Spec { return t.spec }

// SetSpec sets the entry of the instance list.
func (t *Tracker) SetSpec(s Spec) { t.spec = s }

// Running returns the number of granted requests that have not been released.
func (t *Tracker) Running() int { return t.running }

// OnProbation reports whether the endpoint is a straggler, which only gets probes.
func (t *Tracker) OnProbation() bool { return t.probation }

// Failing reports whether the last dial was refused or the last requests of two callers failed. The endpoint then gets one
// request at a time.
func (t *Tracker) Failing() bool { return t.failures > 1 }

// RatesKnown reports whether there are enough samples to refuse requests based on the rates.
func (t *Tracker) RatesKnown() bool { return t.samples >= minSamples }

// Slots returns how many requests the endpoint may run at once. A leaving endpoint has none.
func (t *Tracker) Slots() int {
	switch {
	case t.spec.Leaving || t.blocked:
		return 0
	case t.probation || t.Failing():
		return 1
	}
	return max(1, int(t.slotLimit))
}

// Free returns the number of requests that can be granted now. Requests that the engine reports beyond those granted here,
// for example requests granted by a second owner, reduce it.
func (t *Tracker) Free() int { return max(0, t.Slots()-t.running-t.unaccounted) }

// PrefillRate returns the learned number of prompt tokens per second.
func (t *Tracker) PrefillRate() float64 { return t.prefillRate }

// TokenInterval returns the learned time between tokens, in seconds.
func (t *Tracker) TokenInterval() float64 { return t.tokenInterval }

// Backlog returns the expected time until the prefill of all granted work is done.
func (t *Tracker) Backlog(now time.Time) time.Duration { return max(0, t.prefillDone.Sub(now)) }

// TimeToFirstToken returns the expected time from now to the first token of a request with the given number of uncached
// prompt tokens, in seconds. For a plain service it is the time to the response.
func (t *Tracker) TimeToFirstToken(now time.Time, uncached float64) float64 {
	if t.spec.Service {
		return t.serviceTime
	}
	w := uncached / t.prefillRate
	if d := t.prefillDone.Sub(now); d > 0 {
		w += d.Seconds()
	}
	return w
}

// Cost returns the cost of placing a request here, in seconds: the expected time to the first token plus a share of the
// expected decode time, which grows with the batch. The share is small because the slot limit bounds the batch anyway.
func (t *Tracker) Cost(now time.Time, uncached float64, decode core.Tokens) float64 {
	occupancy := float64(t.running+1) / max(1, t.slotLimit)
	if t.spec.Service {
		return t.serviceTime * (1 + occupancy)
	}
	return t.TimeToFirstToken(now, uncached) + 0.1*float64(decode)*t.tokenInterval*(0.5+0.5*occupancy) + 0.05*occupancy
}

// SlotTime returns how long a request is expected to hold a slot, in seconds.
func (t *Tracker) SlotTime(uncached float64, decode core.Tokens) float64 {
	if t.spec.Service {
		return t.serviceTime
	}
	return uncached/t.prefillRate + float64(decode)*t.tokenInterval
}

// Grant records a granted request and returns the prefill backlog that it waits behind.
func (t *Tracker) Grant(now time.Time, uncached float64) time.Duration {
	t.running++
	t.recordPeak(now)
	if t.spec.Service {
		return 0
	}
	wait := t.Backlog(now)
	t.prefillDone = now.Add(wait + seconds(uncached/t.prefillRate))
	return wait
}

// Adopt records a request that is already running.
func (t *Tracker) Adopt(now time.Time) {
	t.running++
	t.recordPeak(now)
}

// Release frees a slot. The unstarted prompt tokens, of a request that never ran, are removed from the backlog.
func (t *Tracker) Release(unstarted float64) {
	t.running--
	if unstarted > 0 && !t.spec.Service {
		t.prefillDone = t.prefillDone.Add(-seconds(unstarted / t.prefillRate))
	}
}

// RecordFailure records a refused dial or a failed request of a caller. An endpoint that recently made progress is only
// blocked after several consecutive failures, since a single holder may be partitioned from it. Consecutive failed
// requests of the same caller count once, so that a caller with bad requests cannot take endpoints out of service.
func (t *Tracker) RecordFailure(now time.Time, refused bool, caller core.CallerID) {
	if !refused {
		if t.failures > 0 && caller == t.lastFailedCaller {
			return
		}
		t.lastFailedCaller = caller
	}
	t.failures++
	if refused {
		t.failures++
	}
	if t.failures >= 4 || refused && now.Sub(t.lastSuccess) > time.Second {
		t.blockedUntil = now.Add(time.Second << min(t.failures/2-1, 3))
		t.blocked = true
	}
}

// recordSuccess resets the failure state.
func (t *Tracker) recordSuccess(now time.Time) { t.failures, t.blocked, t.lastSuccess = 0, false, now }

// Completion holds the measurements of a completed request.
type Completion struct {
	Uncached   core.Tokens   // computed prompt tokens
	Decode     core.Tokens   // generated tokens
	FirstToken time.Duration // from dispatch to the first token
	Total      time.Duration // from dispatch to the end
	Backlog    time.Duration // as returned by Grant
}

// RecordCompletion updates the rates from a completed request. Its slot is released separately.
func (t *Tracker) RecordCompletion(now time.Time, c Completion) {
	t.recordSuccess(now)
	if t.spec.Service {
		if c.Total > 0 {
			t.serviceTime = smooth(t.serviceTime, c.Total.Seconds(), t.samples == 0)
			t.samples++
		}
		return
	}
	if c.FirstToken > 0 && c.Uncached >= 16 {
		prefillTime := c.FirstToken.Seconds() - c.Backlog.Seconds()
		if prefillTime < c.FirstToken.Seconds()/4 {
			prefillTime = c.FirstToken.Seconds() / 4
		}
		t.prefillRate = smooth(t.prefillRate, float64(c.Uncached)/prefillTime, false)
		if delay := prefillTime - float64(c.Uncached)/t.prefillRate; delay > t.opts.FirstTokenTarget.Seconds() {
			t.missedCount++
		}
	}
	if c.Decode > 4 && c.Total > c.FirstToken && c.FirstToken > 0 {
		t.RecordProgress(now, c.Decode-1, c.Total-c.FirstToken)
	}
}

// RecordProgress updates the token interval from tokens that a running request generated in the given time.
func (t *Tracker) RecordProgress(now time.Time, tokens core.Tokens, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 || t.spec.Service {
		return
	}
	t.recordSuccess(now)
	interval := elapsed.Seconds() / float64(tokens)
	t.tokenInterval = smooth(t.tokenInterval, interval, t.samples == 0)
	t.samples++
	if t.running <= 2 && t.peakRunning <= 2 {
		t.soloInterval = smooth(t.soloInterval, interval, t.soloInterval == 0)
	}
	if interval > t.targetInterval() {
		t.missedCount++
	} else {
		t.metCount++
	}
}

// targetInterval returns the time between tokens that the slot limit aims for, in seconds. An engine that misses the
// configured target even with one or two requests gets a target that it can meet, since fewer slots would not make it
// faster.
func (t *Tracker) targetInterval() float64 {
	return max(t.opts.TokenIntervalTarget.Seconds(), 2*t.soloInterval)
}

// Tick adjusts the slot limit once per adjustInterval. The limit is lowered in proportion to how far targets were missed,
// and raised when targets were met with all slots in use. A small miss lowers it only slightly, because a cut takes slots
// that waiting requests need next.
func (t *Tracker) Tick(now time.Time) {
	if t.blocked && !now.Before(t.blockedUntil) {
		t.blocked = false
	}
	if now.Sub(t.windowStart) < adjustInterval {
		return
	}
	sampleCount := t.missedCount + t.metCount
	switch {
	case t.opts.FixedSlots || t.spec.Service || t.probation || sampleCount < 3 || now.Before(t.limitFixedUntil):
	case 3*t.missedCount > sampleCount:
		t.slotLimit = max(1, min(t.slotLimit, float64(t.peakRunning))*min(max(t.targetInterval()/t.tokenInterval, 0.5), 0.97))
		t.fastGrowth = false
		t.limitFixedUntil = now.Add(2 * adjustInterval)
	case 8*t.missedCount < sampleCount && float64(t.peakRunning) >= math.Floor(t.slotLimit):
		if t.fastGrowth = t.fastGrowth && t.tokenInterval < 0.8*t.targetInterval(); t.fastGrowth {
			t.slotLimit *= 1.25
		} else {
			t.slotLimit += 0.5
		}
		t.slotLimit = min(t.slotLimit, float64(t.opts.MaxSlots))
	}
	t.windowStart, t.missedCount, t.metCount, t.peakRunning = now, 0, 0, t.running
	if t.unaccounted > 0 && now.Sub(t.lastLoad) > 3*time.Second {
		t.unaccounted /= 2
		t.lastLoad = now
	}
}

// RecordLoad applies a load report. Reports are delayed, so the reported count is compared with the maximum that this
// Tracker had running around the time of the report, and only the excess counts.
func (t *Tracker) RecordLoad(r Report) {
	second := r.Time.Unix()
	granted := int32(0)
	if second > t.peakSecond {
		granted = int32(t.running)
	}
	for s := second - 2; s <= second+2; s++ {
		if s <= t.peakSecond && s > t.peakSecond-int64(len(t.peakBySecond)) && s >= 0 {
			granted = max(granted, t.peakBySecond[s%int64(len(t.peakBySecond))])
		}
	}
	t.unaccounted = max(0, r.Running+r.Waiting-int(max(granted, int32(t.running))))
	t.lastLoad = r.Time
}

// recordPeak records the number of running requests for RecordLoad and Tick.
func (t *Tracker) recordPeak(now time.Time) {
	t.peakRunning = max(t.peakRunning, t.running)
	s := now.Unix()
	if s > t.peakSecond {
		for i := max(t.peakSecond+1, s-int64(len(t.peakBySecond))+1); i <= s; i++ {
			t.peakBySecond[i%int64(len(t.peakBySecond))] = int32(t.running)
		}
		t.peakSecond = s
	}
	p := &t.peakBySecond[s%int64(len(t.peakBySecond))]
	*p = max(*p, int32(t.running))
}

// UpdateProbation compares the endpoints of a shard and puts stragglers on probation. A straggler returns to normal service
// after a few probes at normal speed. At most a third of the endpoints are on probation, since a slowdown of most
// endpoints has another cause.
func UpdateProbation(trackers []*Tracker) {
	unitTimes := make([]float64, 0, len(trackers))
	prefillRates := make([]float64, 0, len(trackers))
	onProbation := 0
	for _, t := range trackers {
		if t.probation {
			onProbation++
		}
		if t.samples >= minSamples {
			unitTimes = append(unitTimes, t.unitTime())
			prefillRates = append(prefillRates, t.prefillRate)
		}
	}
	if len(unitTimes) < 3 {
		return
	}
	slices.Sort(unitTimes)
	slices.Sort(prefillRates)
	medianTime, medianRate := unitTimes[len(unitTimes)/2], prefillRates[len(prefillRates)/2]
	for _, t := range trackers {
		if t.samples < minSamples {
			continue
		}
		slowdown := medianRate / t.prefillRate
		// A slow engine is not a straggler while it meets the target: it may run a full batch while others are idle.
		if t.spec.Service || t.tokenInterval > t.opts.TokenIntervalTarget.Seconds() {
			slowdown = max(slowdown, t.unitTime()/medianTime)
		}
		switch {
		case !t.probation && slowdown > stragglerFactor && 3*(onProbation+1) <= len(trackers):
			t.probation, t.goodProbes = true, 0
			onProbation++
		case t.samples == t.comparedSamples:
			// No new sample.
		case t.probation && slowdown < stragglerFactor/2:
			if t.goodProbes++; t.goodProbes >= probesToRecover {
				t.probation, t.fastGrowth = false, false
				t.slotLimit = max(2, t.slotLimit/2)
				onProbation--
			}
		case t.probation:
			t.goodProbes = 0
		}
		t.comparedSamples = t.samples
	}
}

// unitTime returns the time that is compared between endpoints: seconds between tokens, or per request of a plain service.
func (t *Tracker) unitTime() float64 {
	if t.spec.Service {
		return t.serviceTime
	}
	return t.tokenInterval
}

// smooth returns an exponential moving average of an estimate and a sample. The sample is limited by outlierFactor, and the
// first sample replaces the estimate.
func smooth(est, x float64, first bool) float64 {
	if first {
		return x
	}
	return est + smoothingFactor*(min(max(x, est/outlierFactor), est*outlierFactor)-est)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
