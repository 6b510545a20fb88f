package gateway

import (
	"sync"
	"time"

	"monsoondale/core"
	"monsoondale/core/quota"
	"monsoondale/core/retry"
	"monsoondale/core/route"
)

// retryMargin is the part of the repeat budget that is used. The windows of the instances are not aligned with those
// in which the limit is checked.
const retryMargin = 0.8

// budgets guards the quotas and repeat budgets for the goroutines that serve requests.
type budgets struct {
	mu        sync.Mutex
	ledger    *quota.Ledger
	repeats   map[route.Service]*retry.Budget
	options   retry.Options
	instances int
}

func newBudgets(start time.Time, s *Settings) *budgets {
	b := &budgets{ledger: quota.New(quota.Options{Window: s.QuotaWindow, Start: start}), repeats: map[route.Service]*retry.Budget{}, instances: 1}
	b.configure(s)
	return b
}

func (b *budgets) configure(s *Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.options = retry.Options{Window: s.RetryWindow, Ratio: s.RetryRatio, Extra: s.RetryExtra, Margin: retryMargin}
}

// keepRank is the part of a quota that each rank leaves to the more urgent ones, about what leaves the window in two
// slices of it, so that a larger request finds room before less urgent ones have taken it.
const keepRank = 0.05

// keepMost is the part that the least urgent ones leave.
const keepMost = 0.1

// TakeQuota counts units of a workspace for a request of a rank, 0 for the most urgent one.
func (b *budgets) TakeQuota(id core.WorkspaceID, rank int, units float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Take(time.Now(), id, units, min(float64(max(rank, 0))*keepRank, keepMost))
}

// ReturnQuota gives units back.
func (b *budgets) ReturnQuota(taken time.Time, id core.WorkspaceID, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Refund(time.Now(), taken, id, units)
}

// RedateQuota counts units as used now.
func (b *budgets) RedateQuota(taken time.Time, id core.WorkspaceID, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Move(taken, time.Now(), id, units)
}

// CountRequest counts a request.
func (b *budgets) CountRequest(s route.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(s).CountRequest(time.Now())
}

// TakeRetry counts a repeat if it is allowed.
func (b *budgets) TakeRetry(s route.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(s).Take(time.Now(), b.instances)
}

func (b *budgets) service(s route.Service) *retry.Budget {
	r := b.repeats[s]
	if r == nil {
		r = retry.New(b.options)
		b.repeats[s] = r
	}
	return r
}

// fleet sets the number of instances that are heard, this one included, and of all that share the budgets.
func (b *budgets) fleet(heard, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(all, 1)
	b.ledger.SetShare(float64(heard) / float64(max(all, 1)))
}
