package gateway

import (
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/core/quota"
	"monsoondale/core/retry"
	"monsoondale/core/route"
)

// usableRetryShare is the part of the retry budget that is used. The rest is a margin, because the windows of the
// instances are not aligned with those in which the limit is checked.
const usableRetryShare = 0.8

// budgets holds the ledger of the quotas and the retry budgets. Its methods may be called concurrently; code that uses
// the ledger directly must hold mu.
type budgets struct {
	mu           sync.Mutex
	ledger       *quota.Ledger
	retries      map[route.Service]*retry.Budget
	retryOptions retry.Options
	instances    int // number of instances that share the budgets
}

func newBudgets(start time.Time, s *Settings) *budgets {
	b := &budgets{ledger: quota.New(quota.Options{Window: s.QuotaWindow, Start: start}), retries: map[route.Service]*retry.Budget{}, instances: 1}
	b.configure(s)
	return b
}

// configure sets the options of the retry budgets.
func (b *budgets) configure(s *Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryOptions = retry.Options{Window: s.RetryWindow, Ratio: s.RetryRatio, Extra: s.RetryExtra, Margin: usableRetryShare}
	for _, r := range b.retries {
		r.Configure(time.Now(), b.retryOptions)
	}
}

// reservePerRank is the part of a quota that each rank leaves for the more urgent ones. It is about the usage of
// two of the window's slices, so that units that leave the window collect until a larger urgent request fits, before
// less urgent ones take them.
const reservePerRank = 0.05

// maxReserve is the largest part of a quota that a rank leaves: that of rank 2 and above.
const maxReserve = 0.1

// TakeQuota counts units of a workspace for a request of the given rank, 0 being the most urgent, or returns the time
// after which a retry is expected to succeed.
func (b *budgets) TakeQuota(id core.WorkspaceID, rank int, units float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Take(time.Now(), id, units, min(float64(max(rank, 0))*reservePerRank, maxReserve))
}

// QuotaUsage returns the units that a workspace has used in the window, and those that its quota allows.
func (b *budgets) QuotaUsage(id core.WorkspaceID) (used, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Usage(time.Now(), id)
}

// ReturnQuota gives back the units of a request that did not run.
func (b *budgets) ReturnQuota(taken time.Time, id core.WorkspaceID, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Refund(time.Now(), taken, id, units)
}

// MoveUsage counts units that were taken earlier as used now.
func (b *budgets) MoveUsage(taken time.Time, id core.WorkspaceID, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.MoveUsage(taken, time.Now(), id, units)
}

// CountRequest counts a request for a service.
func (b *budgets) CountRequest(s route.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget(s).CountRequest(time.Now())
}

// TakeRetry reports whether the retry budget of a service allows one more retry, and counts it if so.
func (b *budgets) TakeRetry(s route.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(s).Take(time.Now(), b.instances)
}

// retryBudget returns the retry budget of a service.
func (b *budgets) retryBudget(s route.Service) *retry.Budget {
	r := b.retries[s]
	if r == nil {
		r = retry.New(b.retryOptions)
		b.retries[s] = r
	}
	return r
}

// setInstanceCounts sets the number of reachable instances, including this one, and of all instances that share the
// budgets.
func (b *budgets) setInstanceCounts(reachable, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(total, 1)
	b.ledger.SetInstances(total)
	b.ledger.SetShare(float64(reachable) / float64(max(total, 1)))
}
