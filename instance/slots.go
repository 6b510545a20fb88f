package instance

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/dispatch"
	"monsoondale/core/routing"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
)

const (
	// hedgeAfter is how long the best shard may leave an ask unanswered before other shards are asked too.
	hedgeAfter = 20 * time.Millisecond
	// maxOpenAsks bounds the shards that one request asks at the same time.
	maxOpenAsks = 3
	// spillAfter is how long an ask may wait before as many further shards are asked, which lie outside the subset that
	// this instance usually asks.
	spillAfter = 250 * time.Millisecond
	// ownerPause is the delay before an ask is repeated when no candidate of the shard accepts it.
	ownerPause = 100 * time.Millisecond
	// withdrawTimeout bounds the clean-up of an ask that is no longer wanted.
	withdrawTimeout = 2 * time.Second
)

// errNotOwner means that an instance cannot act as owner of the shard; the ask is repeated at another candidate.
var errNotOwner = errors.New("not an owner of the shard")

// slots is the holder's side of admission: it asks owners for slots and accounts for the slots in use.
type slots struct {
	self   core.InstanceID
	tables *tables
	client *peer.Client
	local  *loop

	chooseMu sync.Mutex
	choose   *routing.Chooser

	mu      sync.Mutex
	running map[core.RequestID]*held
}

// held is one slot in use.
type held struct {
	slot   dispatch.Slot
	ask    admission.Ask
	start  time.Time
	tokens core.Tokens
}

var _ dispatch.Slots = (*slots)(nil)

// answer is what one shard said to an ask.
type answer struct {
	shard core.ShardID
	slot  dispatch.Slot
	err   error // nil for a grant, a *core.Error for a refusal
}

// Acquire asks the best shard of the pool, and others if that one does not answer at once. The first grant wins.
func (s *slots) Acquire(ctx context.Context, pool core.Pool, ask admission.Ask) (dispatch.Slot, error) {
	ask.Holder = s.self
	r := s.newRace(ctx, pool, ask)
	defer r.end()
	if len(r.shards) == 0 {
		return dispatch.Slot{}, &core.Error{Code: core.CodeNoEndpoint, Detail: "pool " + string(pool), RetryAfter: time.Second}
	}
	hedge, spill := time.NewTimer(hedgeAfter), time.NewTimer(spillAfter)
	defer hedge.Stop()
	defer spill.Stop()
	for r.start(1); r.open > 0; {
		select {
		case a := <-r.answers:
			r.open--
			if a.err == nil {
				s.hold(a.slot, ask)
				return a.slot, nil
			}
			r.refused(a.err)
		case <-hedge.C:
			r.start(maxOpenAsks)
		case <-spill.C:
			r.limit += maxOpenAsks
			r.start(maxOpenAsks)
		case <-ctx.Done():
			return dispatch.Slot{}, ctx.Err()
		}
	}
	return dispatch.Slot{}, r.refusal
}

// race is the state of one Acquire: the shards asked and those still to ask, best first.
type race struct {
	slots       *slots
	ctx         context.Context
	cancel      context.CancelFunc
	ask         admission.Ask
	shards      []core.ShardID
	answers     chan answer
	open, limit int
	refusal     error // the most telling one so far
	shed        int   // refusals by shards that had endpoints
}

func (s *slots) newRace(ctx context.Context, pool core.Pool, ask admission.Ask) *race {
	r := &race{slots: s, ask: ask, shards: s.shards(pool, ask), limit: maxOpenAsks}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.answers = make(chan answer, len(r.shards))
	return r
}

// start asks up to n further shards.
func (r *race) start(n int) {
	for ; n > 0 && len(r.shards) > 0 && r.open < r.limit; n-- {
		shard := r.shards[0]
		r.shards = r.shards[1:]
		r.open++
		go func() { r.answers <- r.slots.askShard(r.ctx, shard, r.ask) }()
	}
}

// refused notes a refusal and asks the next shard. A shard sheds only after the whole pool confirmed its floor, so that
// few refusals tell enough: asking all 26 shards of a pool would multiply the messages of a flood.
func (r *race) refused(err error) {
	if !isCode(err, core.CodeNoEndpoint) {
		r.shed++
	}
	if r.refusal == nil || !isCode(err, core.CodeNoEndpoint) {
		r.refusal = err
	}
	if r.shed < maxOpenAsks {
		r.start(1)
	}
}

// end withdraws what is still asked, and returns the grants that come too late.
func (r *race) end() {
	r.cancel()
	go r.slots.discard(r.answers, r.open, r.ask)
}

// shards lists the shards to ask, best first. A resumed request may only use the shard of its endpoint.
func (s *slots) shards(pool core.Pool, ask admission.Ask) []core.ShardID {
	if ask.Pin != "" {
		if id, ok := s.tables.load().shardOf[ask.Pin]; ok {
			return []core.ShardID{id}
		}
		return nil
	}
	s.chooseMu.Lock()
	defer s.chooseMu.Unlock()
	return s.choose.Choose(time.Now(), pool, ask.Prefixes)
}

// learn records what an owner said of its shard; wait is in milliseconds.
func (s *slots) learn(shard core.ShardID, wait, free int) {
	s.chooseMu.Lock()
	defer s.chooseMu.Unlock()
	s.choose.UpdateLoad(time.Now(), shard, time.Duration(wait)*time.Millisecond, free)
}

// reshard takes over the shards of a new instance list.
func (s *slots) reshard(specs []routing.ShardSpec) {
	s.chooseMu.Lock()
	defer s.chooseMu.Unlock()
	s.choose.SetShards(specs)
}

// discard returns the grants of asks that lost the race.
func (s *slots) discard(answers <-chan answer, open int, ask admission.Ask) {
	for ; open > 0; open-- {
		if a := <-answers; a.err == nil {
			s.send(a.slot, admission.Release{Grant: a.slot.Grant, Request: ask.Request, Outcome: admission.OutcomeUnused})
		}
	}
}

// askShard asks the owner of a shard, and the next candidate when an owner cannot be reached, until one answers or
// ctx ends.
func (s *slots) askShard(ctx context.Context, shard core.ShardID, ask admission.Ask) answer {
	for {
		route, ok := s.tables.load().shards[shard]
		if !ok {
			return answer{shard: shard, err: core.Errorf(core.CodeNoEndpoint, "shard %s", shard)}
		}
		owner, addr := s.tables.owner(route)
		a, err := s.askOwner(ctx, owner, addr, shard, ask)
		switch {
		case err == nil:
			return a
		case ctx.Err() != nil:
			s.withdraw(owner, addr, shard, ask)
			return answer{shard: shard, err: ctx.Err()}
		case owner != "" && !errors.Is(err, peer.ErrRejected) && !errors.Is(err, errNotOwner):
			s.tables.suspect(owner)
			s.chooseMu.Lock()
			s.choose.RecordFailure(time.Now(), shard)
			s.chooseMu.Unlock()
			continue
		}
		select {
		case <-ctx.Done():
			return answer{shard: shard, err: ctx.Err()}
		case <-time.After(ownerPause):
		}
	}
}

func (s *slots) askOwner(ctx context.Context, owner core.InstanceID, addr string, shard core.ShardID, ask admission.Ask) (answer, error) {
	var m wire.Answer
	var err error
	switch owner {
	case "":
		return answer{}, errNotOwner
	case s.self:
		m, err = s.local.ask(ctx, shard, ask)
	default:
		m, err = s.client.Ask(ctx, addr, peer.EncodeAsk(time.Now(), shard, ask))
	}
	if err != nil {
		return answer{}, err
	}
	s.learn(shard, m.Wait, m.Free)
	if m.Grant == "" {
		return answer{shard: shard, err: &core.Error{
			Code: core.Code(m.Code), Detail: m.Detail, RetryAfter: time.Duration(m.Retry) * time.Millisecond,
		}}, nil
	}
	return answer{shard: shard, slot: dispatch.Slot{
		Shard: shard, Grant: core.GrantID(m.Grant), Endpoint: core.EndpointID(m.Endpoint), Address: m.Address,
	}}, nil
}

// withdraw takes back an ask whose answer may still be on its way. Without it, a grant that crosses the cancellation
// would occupy a slot until the next sync.
func (s *slots) withdraw(owner core.InstanceID, addr string, shard core.ShardID, ask admission.Ask) {
	if owner == "" || owner == s.self {
		return // the local loop withdraws when its context ends
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	s.client.Withdraw(ctx, addr, wire.Withdraw{Shard: string(shard), Request: string(ask.Request)})
}

func (s *slots) hold(slot dispatch.Slot, ask admission.Ask) {
	s.chooseMu.Lock()
	s.choose.RecordGrant(time.Now(), slot.Shard, ask.Prefixes)
	s.chooseMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[ask.Request] = &held{slot: slot, ask: ask, start: time.Now()}
}

// Release returns the slot to the current owner of its shard. A lost message is repaired by the next sync.
func (s *slots) Release(slot dispatch.Slot, rel admission.Release) {
	s.mu.Lock()
	if h := s.running[rel.Request]; h != nil && h.slot.Grant == slot.Grant {
		delete(s.running, rel.Request)
	}
	s.mu.Unlock()
	s.send(slot, rel)
}

func (s *slots) send(slot dispatch.Slot, rel admission.Release) {
	slot.Shard = s.tables.load().current(slot)
	route, ok := s.tables.load().shards[slot.Shard]
	if !ok {
		return
	}
	owner, addr := s.tables.owner(route)
	switch owner {
	case "":
	case s.self:
		s.local.release(slot.Shard, rel)
	default:
		go s.client.Release(context.Background(), addr, peer.EncodeRelease(slot.Shard, rel))
	}
}

// Progress records the tokens generated so far for the next sync.
func (s *slots) Progress(_ dispatch.Slot, request core.RequestID, tokens core.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.running[request]; h != nil {
		h.tokens = tokens
	}
}

// isCode reports whether err is a core.Error with the code.
func isCode(err error, c core.Code) bool {
	var e *core.Error
	return errors.As(err, &e) && e.Code == c
}
