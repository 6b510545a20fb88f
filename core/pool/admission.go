package pool

import (
	"time"

	"monsoondale/core"
)

const (
	// lateWaitShare is the part of the time from arrival to deadline after which a late request that is still queued is
	// refused. With a fifth or more, callers waited longer and were refused all the same.
	lateWaitShare = 0.1
	// minRetryAfter and maxRetryAfter bound the result of retryAfter. minRetryAfter is also used for refusals for which
	// no time is estimated.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// returnSpread is the ratio of the longest to the shortest Retry-After of callers that wait for the same time.
	returnSpread = 1.25
)

// refuse returns the refusal of a request that gets no endpoint now and is not to wait for one. listed reports whether an endpoint that is not
// leaving is listed for it.
func (p *Pool) refuse(now time.Time, t *Ticket, listed bool, exclude []core.EndpointID) (Refusal, bool) {
	if !listed && !t.req.Begun { // for a stream that broke off, an endpoint may be listed in time
		return Refusal{RetryAfter: minRetryAfter, Reason: "no endpoint"}, true
	}
	if end, ok := p.waitEnd(now, exclude); ok && !t.canWaitUntil(end) {
		return Refusal{RetryAfter: p.spread(end.Sub(now)), Reason: "endpoints wait"}, true
	}
	if t.late && !t.req.Begun { // waits only for a part of the time from arrival to deadline
		if now.Sub(t.req.Arrived) > time.Duration(lateWaitShare*float64(t.req.Deadline.Sub(t.req.Arrived))) {
			return Refusal{RetryAfter: p.retryAfter(), Reason: "overload"}, true
		}
	}
	return Refusal{}, false
}

// missesObjective reports whether a request would miss its objective even at the fastest available endpoint. Its wait in
// the queue is estimated as onTimeBefore times the mean interval between completions. If no endpoint is available, only
// this wait counts.
func (p *Pool) missesObjective(now time.Time, t *Ticket, onTimeBefore int) bool {
	if t.req.Objective.IsZero() {
		return false
	}
	fastest := time.Duration(-1)
	for _, e := range p.orderedEndpoints {
		if e.available(now) {
			if f, _ := p.model.predict(now, e, &t.req); fastest < 0 || f < fastest {
				fastest = f
			}
		}
	}
	wait := time.Duration(float64(onTimeBefore) * p.completionInterval.mean.value)
	return now.Add(wait + max(fastest, 0)).After(t.req.Objective)
}

// canWaitUntil reports whether a request can wait in the queue until a time at which an endpoint accepts requests again: it
// can still be on time then, or its caller is receiving the response already.
func (t *Ticket) canWaitUntil(end time.Time) bool {
	if t.req.Begun {
		return end.Before(t.req.Deadline)
	}
	return end.Before(t.req.Objective)
}

// spread returns a time from d to returnSpread times d, so that callers that are refused together return one by one.
func (p *Pool) spread(d time.Duration) time.Duration {
	return max(time.Duration((1+(returnSpread-1)*p.rng.Float64())*float64(d)), minRetryAfter)
}

// retryAfter estimates the time in which the queued requests and one more are completed, from the mean interval between
// completions.
func (p *Pool) retryAfter() time.Duration {
	if p.completionInterval.mean.n == 0 {
		return minRetryAfter
	}
	return min(max(time.Duration(p.completionInterval.mean.value*float64(len(p.queue)+1)), minRetryAfter), maxRetryAfter)
}
