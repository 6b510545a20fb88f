package peer

import (
	"strconv"
	"time"

	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/admission"
	wire "monsoondale/wire/peer"
)

// EncodeAsk converts an ask to its message. The deadline is sent as the time left, because the clocks of two instances
// may differ.
func EncodeAsk(now time.Time, shard core.ShardID, a admission.Ask) wire.Ask {
	return wire.Ask{
		Shard: string(shard), Request: string(a.Request), Holder: string(a.Holder),
		Workspace: string(a.Workspace), Caller: string(a.Caller), Tier: int(a.Tier), Weight: int(a.Weight),
		Prefill: int(a.Prefill), Decode: int(a.Decode), Deadline: encodeDeadline(now, a.Deadline), Once: a.Once, Pin: string(a.Pin),
		Prefixes: lo.Map(a.Prefixes, func(p core.PrefixHash, _ int) string { return strconv.FormatUint(uint64(p), 16) }),
		Exclude:  lo.Map(a.Exclude, func(e core.EndpointID, _ int) string { return string(e) }),
	}
}

// DecodeAsk converts a message to an ask. Prefixes that are not hexadecimal are dropped, since they affect only cache
// affinity.
func DecodeAsk(now time.Time, m wire.Ask) admission.Ask {
	return admission.Ask{
		Request: core.RequestID(m.Request), Holder: core.InstanceID(m.Holder),
		Workspace: core.WorkspaceID(m.Workspace), Caller: core.CallerID(m.Caller), Tier: core.Tier(m.Tier),
		Weight: core.Weight(m.Weight), Prefill: core.Tokens(m.Prefill), Decode: core.Tokens(m.Decode),
		Deadline: decodeDeadline(now, m.Deadline), Once: m.Once, Pin: core.EndpointID(m.Pin),
		Prefixes: lo.FilterMap(m.Prefixes, func(s string, _ int) (core.PrefixHash, bool) {
			n, err := strconv.ParseUint(s, 16, 64)
			return core.PrefixHash(n), err == nil
		}),
		Exclude: lo.Map(m.Exclude, func(s string, _ int) core.EndpointID { return core.EndpointID(s) }),
	}
}

// EncodeRelease converts a release to its message.
func EncodeRelease(shard core.ShardID, r admission.Release) wire.Release {
	return wire.Release{
		Shard: string(shard), Request: string(r.Request), Grant: string(r.Grant),
		Outcome: wire.ReleaseOutcome(r.Outcome), Prefill: int(r.Prefill), Cached: int(r.Cached), Decode: int(r.Decode),
		First: int(r.FirstToken.Microseconds()), Took: int(r.Total.Microseconds()),
	}
}

// DecodeRelease converts a message to a release.
func DecodeRelease(m wire.Release) admission.Release {
	return admission.Release{
		Request: core.RequestID(m.Request), Grant: core.GrantID(m.Grant), Outcome: admission.Outcome(m.Outcome),
		Prefill: core.Tokens(m.Prefill), Cached: core.Tokens(m.Cached), Decode: core.Tokens(m.Decode),
		FirstToken: time.Duration(m.First) * time.Microsecond, Total: time.Duration(m.Took) * time.Microsecond,
	}
}

// EncodeSync converts a sync to its message. A partial sync has only the progress of its requests, because the owner
// knows the rest; otherwise it asks for the full list.
func EncodeSync(shard core.ShardID, y admission.Sync) wire.Sync {
	return wire.Sync{
		Shard: string(shard), Holder: string(y.Holder), Count: y.Count, Digest: strconv.FormatUint(y.Digest, 16), Full: y.Full,
		Running: lo.Map(y.Running, func(r admission.Running, _ int) wire.Running {
			if !y.Full {
				return wire.Running{Request: string(r.Request), Tokens: int(r.Tokens), Age: int(r.Age.Milliseconds())}
			}
			return wire.Running{
				Request: string(r.Request), Grant: string(r.Grant), Endpoint: string(r.Endpoint),
				Workspace: string(r.Workspace), Caller: string(r.Caller), Tier: int(r.Tier), Weight: int(r.Weight),
				Prefill: int(r.Prefill), Decode: int(r.Decode), Tokens: int(r.Tokens), Age: int(r.Age.Milliseconds()), Once: r.Once,
			}
		}),
	}
}

// DecodeSync converts a message to a sync. A malformed digest becomes 0 and so counts as a mismatch.
func DecodeSync(m wire.Sync) admission.Sync {
	digest, _ := strconv.ParseUint(m.Digest, 16, 64)
	return admission.Sync{
		Holder: core.InstanceID(m.Holder), Count: m.Count, Digest: digest, Full: m.Full,
		Running: lo.Map(m.Running, func(r wire.Running, _ int) admission.Running {
			return admission.Running{
				Request: core.RequestID(r.Request), Grant: core.GrantID(r.Grant), Endpoint: core.EndpointID(r.Endpoint),
				Workspace: core.WorkspaceID(r.Workspace), Caller: core.CallerID(r.Caller), Tier: core.Tier(r.Tier),
				Weight: core.Weight(r.Weight), Prefill: core.Tokens(r.Prefill), Decode: core.Tokens(r.Decode),
				Tokens: core.Tokens(r.Tokens), Age: time.Duration(r.Age) * time.Millisecond, Once: r.Once,
			}
		}),
	}
}

// encodeDeadline returns the milliseconds until t, at least 1; 0 means no deadline.
func encodeDeadline(now, t time.Time) int {
	if t.IsZero() {
		return 0
	}
	return max(1, int(t.Sub(now).Milliseconds()))
}

func decodeDeadline(now time.Time, ms int) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}
