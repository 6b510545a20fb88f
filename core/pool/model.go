package pool

import (
	"time"

	"monsoondale/core"
)

const (
	// modelDecay is the factor by which each new sample reduces the weight of the older ones. The model covers about
	// 500 samples. Instances exchange their samples, so that 500 of them come in within a few seconds.
	modelDecay = 0.998
	// slowdownWeight is the weight of the newest sample in an endpoint's slowdown.
	slowdownWeight = 0.15
	// defaultFirstEvent is the time to the first event that is assumed until samples are available.
	defaultFirstEvent = 60 * time.Millisecond
	// defaultEventInterval is the time between events that is assumed until an endpoint has served a stream.
	defaultEventInterval = 30 * time.Millisecond
	// assumedTokensPerEvent is used to predict the number of events of a response from its number of tokens.
	assumedTokensPerEvent = 6
	// newEndpointFactor scales the slowdown of an endpoint with fewer than minEndpointSamples samples. It makes a new
	// endpoint look fast, so that it gets requests even if others are known to be fast.
	newEndpointFactor  = 0.7
	minEndpointSamples = 5
	// minSlowdown and maxSlowdown bound an endpoint's slowdown, so that a single outlier does not exclude it.
	minSlowdown, maxSlowdown = 0.2, 8
	// The line is fitted only if the sum of the weights of all samples is at least minFitWeight, and the slowdowns of
	// endpoints are updated only if it is at least minSlowdownWeight.
	minFitWeight, minSlowdownWeight = 5, 20
)

// latencyModel predicts the time to the first event as a linear function of the prompt tokens that the endpoint has to
// process before it. All endpoints of a pool share one line, which each endpoint's stated slowness and slowdown scale. The line
// is fitted by least squares with exponential decay; the fields are the weighted sums of the samples.
type latencyModel struct {
	n, x, y, xx, xy float64 // n is the sum of the weights; x is in prompt tokens, y in nanoseconds
	// eventInterval is the mean time between events at an endpoint with a slowness of 1, in nanoseconds.
	eventInterval average
}

// coefficients returns the constant and the slope of the fitted line, in nanoseconds and nanoseconds per token.
func (m *latencyModel) coefficients() (constant, slope float64) {
	if m.n < minFitWeight {
		return float64(defaultFirstEvent), 0
	}
	det := m.n*m.xx - m.x*m.x
	mean := m.y / m.n
	if det > 1e-6*m.n*m.xx { // false if all samples have nearly the same number of tokens
		slope = (m.n*m.xy - m.x*m.y) / det
	}
	if slope <= 0 {
		return mean, 0
	}
	constant = (m.y - slope*m.x) / m.n
	if constant < 0 {
		return 0, m.y / m.x
	}
	return constant, slope
}

// addSample updates the fit and the slowdown of an endpoint with a measured time to the first event.
func (m *latencyModel) addSample(e *endpointState, s Sample) {
	e.samples++
	x, y := float64(s.PromptBacklog), float64(s.Latency)
	if s.Slowness > 0 {
		y /= s.Slowness
	}
	c, slope := m.coefficients()
	if expected := c + slope*x; expected > 0 && m.n >= minSlowdownWeight {
		ratio := min(max(y/expected, minSlowdown), maxSlowdown)
		e.slowdown += slowdownWeight * (ratio - e.slowdown)
	}
	y /= e.slowdown
	m.n, m.x, m.y, m.xx, m.xy = m.n*modelDecay+1, m.x*modelDecay+x, m.y*modelDecay+y, m.xx*modelDecay+x*x, m.xy*modelDecay+x*y
}

// predict returns the expected time to the first event and to the last event of a response, which is assumed to have the
// maximum length.
func (m *latencyModel) predict(now time.Time, e *endpointState, req *Request) (first, last time.Duration) {
	c, s := m.coefficients()
	stated := e.stated.value(now)
	slowdown := e.slowdown * stated
	if e.samples < minEndpointSamples && e.stated.mean.n == 0 {
		slowdown *= newEndpointFactor
	}
	f := slowdown * (c + s*float64(e.promptBacklog()+req.Prompt))
	return time.Duration(f), time.Duration(f + m.interval(now, e)*float64(req.MaxOutput)/assumedTokensPerEvent)
}

// interval returns the expected time between the events of an endpoint, in nanoseconds.
func (m *latencyModel) interval(now time.Time, e *endpointState) float64 {
	switch {
	case e.stated.mean.n > 0 && m.eventInterval.n > 0:
		return e.stated.value(now) * m.eventInterval.value
	case e.eventInterval.n > 0:
		return e.eventInterval.value
	}
	return float64(defaultEventInterval)
}

// stalled reports whether streams run at an endpoint and none of them has got anything for longer than usual.
func (m *latencyModel) stalled(now time.Time, e *endpointState) bool {
	pause := max(time.Duration(stallIntervals*m.interval(now, e)), minStall)
	return e.streams > 0 && now.Sub(e.lastHeard()) > pause
}

// pause returns the expected time between two events of the streams at an endpoint while it reads the prompt of a request, or 0 if
// the endpoint does not state how slow it is.
func (m *latencyModel) pause(now time.Time, e *endpointState, req *Request) time.Duration {
	if e.stated.mean.n == 0 || m.eventInterval.n == 0 {
		return 0
	}
	_, s := m.coefficients()
	return time.Duration(e.stated.value(now) * (m.eventInterval.value + s*float64(e.promptBacklog()+req.Prompt)))
}

// marginalDelay returns by how much one more request with the given number of prompt tokens delays the first event of
// the next request. On average, half of these tokens are still unprocessed when the next request arrives.
func (m *latencyModel) marginalDelay(now time.Time, e *endpointState, prompt core.Tokens) time.Duration {
	_, s := m.coefficients()
	return time.Duration(e.stated.value(now) * e.slowdown * s * float64(prompt) / 2)
}
