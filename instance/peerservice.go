package instance

import (
	"context"
	"encoding/json"
	"time"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
)

// peerService handles the messages of other instances.
type peerService struct {
	self   core.InstanceID
	loop   *controlLoop
	runner dispatch.Suspender
	gossip *gossip
	claims claimServer
	floors *floorCollector
	ctx    context.Context // cancelled when the instance ends
	report func() (json.RawMessage, error)
}

// claimServer writes order claims that other instances forward to this one.
type claimServer interface {
	Serve(ctx context.Context, m wire.Claim) wire.Claimed
}

var _ peer.MessageHandler = (*peerService)(nil)

// Ask queues the ask of another instance and waits until it is granted or refused.
func (p *peerService) Ask(ctx context.Context, m wire.Ask) (wire.Answer, error) {
	return p.loop.ask(ctx, core.ShardID(m.Shard), peer.DecodeAsk(time.Now(), m))
}

// Release returns a slot.
func (p *peerService) Release(_ context.Context, m wire.Release) (struct{}, error) {
	p.loop.release(core.ShardID(m.Shard), peer.DecodeRelease(m))
	return struct{}{}, nil
}

// Withdraw removes an ask from the queue.
func (p *peerService) Withdraw(_ context.Context, m wire.Withdraw) (struct{}, error) {
	p.loop.withdraw(core.ShardID(m.Shard), core.RequestID(m.Request))
	return struct{}{}, nil
}

// Sync applies another holder's list of the slots that it uses.
func (p *peerService) Sync(ctx context.Context, m wire.Sync) (wire.Synced, error) {
	return p.loop.applySync(ctx, core.ShardID(m.Shard), peer.DecodeSync(m))
}

// Suspend suspends a request that this instance holds.
func (p *peerService) Suspend(ctx context.Context, m wire.Suspend) (wire.Suspended, error) {
	if p.runner.Suspend(ctx, core.RequestID(m.Request), core.GrantID(m.Grant)) {
		return wire.Suspended{State: wire.SuspendedStateSuspended}, nil
	}
	return wire.Suspended{State: wire.SuspendedStateRefused}, nil
}

// Floor applies a floor, and confirms it if no lower tier runs at this instance's shards of the pool. If the message asks
// to collect, it collects the confirmations of all voters for another owner instead.
func (p *peerService) Floor(ctx context.Context, m wire.Floor) (wire.Floored, error) {
	if m.Collect {
		validity := p.floors.validityFor(p.ctx, floorKey{core.Pool(m.Pool), core.Tier(m.Tier)})
		return wire.Floored{Confirmed: validity > 0, Lease: int(validity.Milliseconds())}, nil
	}
	running, err := p.loop.applyFloor(ctx, core.Pool(m.Pool), core.Tier(m.Tier), time.Duration(m.Lease)*time.Millisecond)
	return wire.Floored{Confirmed: err == nil && running == 0, Running: running}, err
}

// Claim writes an order claim that another instance forwarded.
func (p *peerService) Claim(ctx context.Context, m wire.Claim) (wire.Claimed, error) {
	return p.claims.Serve(ctx, m), nil
}

// Gossip merges the changes of another instance and replies with the changes that it lacks.
func (p *peerService) Gossip(ctx context.Context, m wire.Gossip) (wire.Gossip, error) {
	return p.gossip.receive(ctx, m)
}

// Report returns the counts of this instance.
func (p *peerService) Report(context.Context, struct{}) (json.RawMessage, error) {
	return p.report()
}
