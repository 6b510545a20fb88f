package pool

import (
	"time"

	"monsoondale/core"
)

const (
	// modelDecay is the weight that a sample keeps with each later one; about the last 500 count, which are those of a
	// few seconds, as instances tell each other theirs.
	modelDecay = 0.998
	// speedWeight is the weight of the newest sample in an endpoint's relative speed.
	speedWeight = 0.15
	// firstDefault is the time to a first event that is assumed before any was seen.
	firstDefault = 60 * time.Millisecond
	// stepDefault is the time between events that is assumed before any was seen.
	stepDefault = 30 * time.Millisecond
	// eventTokens is the number of tokens that an event is assumed to hold.
	eventTokens = 6
	// untried is the relative speed that an endpoint is given until triedAfter first events were seen, so that it gets
	// them even if others are known to be good.
	untried    = 0.7
	triedAfter = 5
	// speedLeast and speedMost bound an endpoint's relative speed, so that one odd sample does not rule it out.
	speedLeast, speedMost = 0.2, 8
)

// model predicts the time to the first event as a linear function of the prompt tokens to be read before it, the same
// for all endpoints of a pool but for a factor for each. The line is fitted by least squares with exponential decay.
type model struct {
	n, x, y, xx, xy float64
}

// line returns the constant and the slope of the fit, in nanoseconds and nanoseconds a token.
func (m *model) line() (constant, slope float64) {
	if m.n < 5 {
		return float64(firstDefault), 0
	}
	det := m.n*m.xx - m.x*m.x
	mean := m.y / m.n
	if det > 1e-6*m.n*m.xx {
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

func (m *model) first(a *account, ahead core.Tokens, d time.Duration) {
	a.samples++
	x, y := float64(ahead), float64(d)
	c, s := m.line()
	if expected := c + s*x; expected > 0 && m.n >= 20 {
		ratio := min(max(y/expected, speedLeast), speedMost)
		a.speed += speedWeight * (ratio - a.speed)
	}
	y /= a.speed
	m.n, m.x, m.y, m.xx, m.xy = m.n*modelDecay+1, m.x*modelDecay+x, m.y*modelDecay+y, m.xx*modelDecay+x*x, m.xy*modelDecay+x*y
}

// expect returns the predicted time to the first event and to the last one.
func (m *model) expect(a *account, w *Request) (first, last time.Duration) {
	c, s := m.line()
	speed := a.speed
	if a.samples < triedAfter {
		speed *= untried
	}
	f := speed * (c + s*float64(a.backlog()+w.Prompt))
	step := float64(stepDefault)
	if a.step.set {
		step = a.step.value
	}
	return time.Duration(f), time.Duration(f + step*float64(w.MaxOutput)/eventTokens)
}

// marginal returns by how much one more request of a number of prompt tokens delays the next one's first event. About
// half of them are still to be read when that one arrives.
func (m *model) marginal(a *account, prompt core.Tokens) time.Duration {
	_, s := m.line()
	return time.Duration(a.speed * s * float64(prompt) / 2)
}

// paceWeight is the weight of the newest gap in a pace; about the last 20 count.
const paceWeight = 0.05

// pace measures how often something happens.
type pace struct {
	last time.Time
	gap  average
}

func (p *pace) add(now time.Time) {
	if !p.last.IsZero() {
		p.gap.add(float64(now.Sub(p.last)), paceWeight)
	}
	p.last = now
}
