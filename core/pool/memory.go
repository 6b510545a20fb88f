package pool

// largeFactor is the ratio of an unusually large request to the mean.
const largeFactor = 4

// UnusuallyLarge reports whether the request of a grant has many more prompt tokens than the mean of all.
func (p *Pool) UnusuallyLarge(g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(g.req.Prompt) > largeFactor*p.meanPrompt.value
}
