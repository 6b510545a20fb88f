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
	// hedgeDelay is how long an ask waits for the best shard before other shards are asked too.
	hedgeDelay = 20 * time.Millisecond
	// maxPendingAsks bounds the number of shards that a request asks at the same time.
	maxPendingAsks = 3
	// spillDelay is how long an ask waits before maxPendingAsks further shards are asked, outside the subset that this
	// instance usually asks.
	spillDelay = 250 * time.Millisecond
	// ownerRetryDelay is the delay before an ask is repeated if no candidate of the shard accepts it.
	ownerRetryDelay = 100 * time.Millisecond
	// withdrawTimeout bounds the request that withdraws an ask.
	withdrawTimeout = 2 * time.Second
)

// errNotOwner means that an instance cannot act as owner of the shard. The ask must be repeated at another candidate.
var errNotOwner = errors.New("not an owner of the shard")

// slotClient is the holder's side of admission: it asks the owners of shards for slots and keeps track of the slots in
// use.
type slotClient struct {
	self    core.InstanceID
	routing *routingState
	client  *peer.Client
	loop    *controlLoop

	chooserMu sync.Mutex
	chooser   *routing.Chooser

	mu      sync.Mutex
	running map[core.RequestID]*heldSlot
}

// heldSlot is a slot in use.
type heldSlot struct {
	slot   dispatch.Slot
	ask    admission.Ask
	start  time.Time
	tokens core.Tokens
}

var _ dispatch.Slots = (*slotClient)(nil)

// shardAnswer is the answer of a shard to an ask.
type shardAnswer struct {
	shard core.ShardID
	slot  dispatch.Slot
	err   error // nil for a grant, a *core.Error for a refusal
}

// Acquire asks the best shard of the pool for a slot, and further shards if that one does not answer within hedgeDelay.
// The first grant wins.
func (s *slotClient) Acquire(ctx context.Context, pool core.Pool, ask admission.Ask) (dispatch.Slot, error) {
	ask.Holder = s.self
	h := s.newHedgedAsk(ctx, pool, ask)
	defer h.cancelPending()
	if len(h.shards) == 0 {
		return dispatch.Slot{}, &core.Error{Code: core.CodeNoEndpoint, Detail: "pool " + string(pool), RetryAfter: time.Second}
	}
	hedge, spill := time.NewTimer(hedgeDelay), time.NewTimer(spillDelay)
	defer hedge.Stop()
	defer spill.Stop()
	for h.askNext(1); h.pending > 0; {
		select {
		case a := <-h.answers:
			h.pending--
			if a.err == nil {
				s.recordGrant(a.slot, ask)
				return a.slot, nil
			}
			h.addRefusal(a.err)
		case <-hedge.C:
			h.askNext(maxPendingAsks)
		case <-spill.C:
			h.maxPending += maxPendingAsks
			h.askNext(maxPendingAsks)
		case <-ctx.Done():
			return dispatch.Slot{}, ctx.Err()
		}
	}
	return dispatch.Slot{}, h.refusal
}

// hedgedAsk is the state of one Acquire, which asks several shards concurrently.
type hedgedAsk struct {
	client              *slotClient
	ctx                 context.Context
	cancel              context.CancelFunc
	ask                 admission.Ask
	shards              []core.ShardID
	answers             chan shardAnswer
	pending, maxPending int
	refusal             error // the refusal to return; one of a shard with endpoints takes precedence
	shedCount           int   // number of refusals by shards with endpoints
}

func (s *slotClient) newHedgedAsk(ctx context.Context, pool core.Pool, ask admission.Ask) *hedgedAsk {
	h := &hedgedAsk{client: s, ask: ask, shards: s.shards(pool, ask), maxPending: maxPendingAsks}
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.answers = make(chan shardAnswer, len(h.shards))
	return h
}

// askNext asks up to n further shards, as long as fewer than maxPending are unanswered.
func (h *hedgedAsk) askNext(n int) {
	for ; n > 0 && len(h.shards) > 0 && h.pending < h.maxPending; n-- {
		shard := h.shards[0]
		h.shards = h.shards[1:]
		h.pending++
		go func() { h.answers <- h.client.askShard(h.ctx, shard, h.ask) }()
	}
}

// addRefusal records a refusal and asks the next shard, until maxPendingAsks shards with endpoints have refused. A shard
// sheds only after the whole pool confirmed its floor, so a few refusals are conclusive, and asking all 26 shards of a
// pool would multiply the messages during an overload.
func (h *hedgedAsk) addRefusal(err error) {
	if !isCode(err, core.CodeNoEndpoint) {
		h.shedCount++
	}
	if h.refusal == nil || !isCode(err, core.CodeNoEndpoint) {
		h.refusal = err
	}
	if h.shedCount < maxPendingAsks {
		h.askNext(1)
	}
}

// cancelPending withdraws the unanswered asks, and releases slots that are granted nevertheless.
func (h *hedgedAsk) cancelPending() {
	h.cancel()
	go h.client.returnGrants(h.answers, h.pending, h.ask)
}

// shards returns the shards to ask, best first. A resumed request may only use the shard of its endpoint.
func (s *slotClient) shards(pool core.Pool, ask admission.Ask) []core.ShardID {
	if ask.Pin != "" {
		if id, ok := s.routing.load().shardOf[ask.Pin]; ok {
			return []core.ShardID{id}
		}
		return nil
	}
	s.chooserMu.Lock()
	defer s.chooserMu.Unlock()
	return s.chooser.Choose(time.Now(), pool, ask.Prefixes)
}

// recordLoad records the queueing time, in milliseconds, and the free slots that an owner reported for its shard.
func (s *slotClient) recordLoad(shard core.ShardID, wait, free int) {
	s.chooserMu.Lock()
	defer s.chooserMu.Unlock()
	s.chooser.UpdateLoad(time.Now(), shard, time.Duration(wait)*time.Millisecond, free)
}

// setShards updates the shards after a change of the instance list.
func (s *slotClient) setShards(specs []routing.ShardSpec) {
	s.chooserMu.Lock()
	defer s.chooserMu.Unlock()
	s.chooser.SetShards(specs)
}

// returnGrants releases the slots that are granted after another shard's grant was used.
func (s *slotClient) returnGrants(answers <-chan shardAnswer, pending int, ask admission.Ask) {
	for ; pending > 0; pending-- {
		if a := <-answers; a.err == nil {
			s.sendRelease(a.slot, admission.Release{Grant: a.slot.Grant, Request: ask.Request, Outcome: admission.OutcomeUnused})
		}
	}
}

// askShard asks the owner of a shard, and the next candidate if the owner cannot be reached, until one answers or ctx
// ends.
func (s *slotClient) askShard(ctx context.Context, shard core.ShardID, ask admission.Ask) shardAnswer {
	for {
		route, ok := s.routing.load().shards[shard]
		if !ok {
			return shardAnswer{shard: shard, err: core.Errorf(core.CodeNoEndpoint, "shard %s", shard)}
		}
		owner, addr := s.routing.owner(route)
		answer, err := s.askOwner(ctx, owner, addr, shard, ask)
		switch {
		case err == nil:
			return answer
		case ctx.Err() != nil:
			s.withdraw(owner, addr, shard, ask)
			return shardAnswer{shard: shard, err: ctx.Err()}
		case owner != "" && !errors.Is(err, peer.ErrRejected) && !errors.Is(err, errNotOwner):
			s.routing.suspect(owner)
			s.chooserMu.Lock()
			s.chooser.RecordFailure(time.Now(), shard)
			s.chooserMu.Unlock()
			if next, _ := s.routing.owner(route); !s.routing.suspected(next) {
				continue
			}
		}
		select {
		case <-ctx.Done():
			return shardAnswer{shard: shard, err: ctx.Err()}
		case <-time.After(ownerRetryDelay):
		}
	}
}

// askOwner asks an owner of the shard once. The error is errNotOwner or that of the peer client if there is no answer.
func (s *slotClient) askOwner(ctx context.Context, owner core.InstanceID, addr string, shard core.ShardID, ask admission.Ask) (shardAnswer, error) {
	var m wire.Answer
	var err error
	switch owner {
	case "":
		return shardAnswer{}, errNotOwner
	case s.self:
		m, err = s.loop.ask(ctx, shard, ask)
	default:
		m, err = s.client.Ask(ctx, addr, peer.EncodeAsk(time.Now(), shard, ask))
	}
	if err != nil {
		return shardAnswer{}, err
	}
	s.recordLoad(shard, m.Wait, m.Free)
	if m.Grant == "" {
		return shardAnswer{shard: shard, err: &core.Error{
			Code: core.Code(m.Code), Detail: m.Detail, RetryAfter: time.Duration(m.Retry) * time.Millisecond,
		}}, nil
	}
	return shardAnswer{shard: shard, slot: dispatch.Slot{
		Shard: shard, Grant: core.GrantID(m.Grant), Endpoint: core.EndpointID(m.Endpoint), Address: m.Address,
	}}, nil
}

// withdraw withdraws an ask at a remote owner. Without it, a grant that is in flight during the cancellation would occupy
// a slot until the next sync.
func (s *slotClient) withdraw(owner core.InstanceID, addr string, shard core.ShardID, ask admission.Ask) {
	if owner == "" || owner == s.self {
		return // controlLoop.ask withdraws when its context ends
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	s.client.Withdraw(ctx, addr, wire.Withdraw{Shard: string(shard), Request: string(ask.Request)})
}

// recordGrant adds a granted slot to the slots in use.
func (s *slotClient) recordGrant(slot dispatch.Slot, ask admission.Ask) {
	s.chooserMu.Lock()
	s.chooser.RecordGrant(time.Now(), slot.Shard, ask.Prefixes)
	s.chooserMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[ask.Request] = &heldSlot{slot: slot, ask: ask, start: time.Now()}
}

// Release returns the slot to the current owner of its shard. If the message is lost, the next sync frees the slot.
func (s *slotClient) Release(slot dispatch.Slot, rel admission.Release) {
	s.mu.Lock()
	if h := s.running[rel.Request]; h != nil && h.slot.Grant == slot.Grant {
		delete(s.running, rel.Request)
	}
	s.mu.Unlock()
	s.sendRelease(slot, rel)
}

// sendRelease sends a release to the current owner of the slot's shard, without waiting for the response.
func (s *slotClient) sendRelease(slot dispatch.Slot, rel admission.Release) {
	slot.Shard = s.routing.load().currentShard(slot)
	route, ok := s.routing.load().shards[slot.Shard]
	if !ok {
		return
	}
	owner, addr := s.routing.owner(route)
	switch owner {
	case "":
	case s.self:
		s.loop.release(slot.Shard, rel)
	default:
		go s.client.Release(context.Background(), addr, peer.EncodeRelease(slot.Shard, rel))
	}
}

// Progress records the number of tokens generated so far, for the next sync.
func (s *slotClient) Progress(_ dispatch.Slot, request core.RequestID, tokens core.Tokens) {
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
