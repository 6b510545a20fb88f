package engine

import (
	"slices"
	"time"

	"monsoondale/wire/engine"
)

// cache is a bounded prefix cache with least recently used eviction. It also keeps the published cache events.
type cache struct {
	maxBlocks int           // capacity
	lag       time.Duration // delay until an event is visible
	loseEvery int           // every loseEvery-th event is lost, 0 for none
	blocks    []string      // least recently used first
	events    []event
	seq       int
}

type event struct {
	engine.Event
	publishedAt time.Time
}

// access returns the number of leading blocks that are cached, then stores the missing ones and marks all as most
// recently used.
func (c *cache) access(now time.Time, prefixes []string) int {
	cachedBlocks := 0
	for cachedBlocks < len(prefixes) && slices.Contains(c.blocks, prefixes[cachedBlocks]) {
		cachedBlocks++
	}
	// The order makes longer prefixes be evicted before the shorter ones that they extend.
	for _, p := range slices.Backward(prefixes) {
		if i := slices.Index(c.blocks, p); i >= 0 {
			c.blocks = slices.Delete(c.blocks, i, i+1)
		} else {
			c.publish(now, engine.EventOpStore, p)
		}
		c.blocks = append(c.blocks, p)
	}
	for len(c.blocks) > c.maxBlocks {
		c.publish(now, engine.EventOpEvict, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return cachedBlocks
}

func (c *cache) publish(now time.Time, op engine.EventOp, prefix string) {
	c.seq++
	if c.loseEvery > 0 && c.seq%c.loseEvery == 0 {
		return
	}
	c.events = append(c.events, event{engine.Event{Seq: c.seq, Op: op, Prefix: prefix}, now})
	if len(c.events) > 4096 {
		c.events = slices.Clone(c.events[2048:])
	}
}

// eventsAfter returns the visible events with a sequence number above seq.
func (c *cache) eventsAfter(now time.Time, seq int) []engine.Event {
	out := []engine.Event{}
	for _, e := range c.events {
		if e.Seq > seq && !e.publishedAt.Add(c.lag).After(now) {
			out = append(out, e.Event)
		}
	}
	return out
}
