package instance

import (
	"context"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/dispatch"
	"monsoondale/io/peer"
	wire "monsoondale/wire/peer"
)

// suspender sends the suspensions that a shard requests to the holders of the slots. The holder's release with outcome
// "suspended" frees the slot. If a message is lost, the shard repeats it.
type suspender struct {
	ctx     context.Context
	self    core.InstanceID
	routing *routingState
	client  *peer.Client
	runner  dispatch.Suspender
}

func (s *suspender) suspend(e admission.Suspend) {
	if e.Holder == s.self {
		go s.runner.Suspend(s.ctx, e.Request, e.Grant)
		return
	}
	if addr, ok := s.routing.load().addr[e.Holder]; ok {
		go s.client.Suspend(s.ctx, addr, wire.Suspend{Request: string(e.Request), Grant: string(e.Grant)})
	}
}
