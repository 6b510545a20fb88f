package order

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/wire/peer"
)

// Shards is the number of claim shards. It must not change while entries are stored: with another number, keys would be
// looked up in the wrong objects.
const Shards = 64

const (
	// InlineBytes is the size of the largest result body that is stored in the entry itself.
	InlineBytes = 2 << 10
	// resultNotKept stands in place of the name of a result object if the result exceeds the size limit of the object
	// API.
	resultNotKept = "none"
	// maxVoidedAttempts bounds the voided attempts listed in an entry. Each refused dial or lost response for the key
	// adds one.
	maxVoidedAttempts = 8
	// maxHeadBytes is the size of the largest head or archive object that is decoded.
	maxHeadBytes = 1 << 20
)

// Entry is the record of one key in a head or archive object. Entries are immutable; a change replaces the entry.
type Entry struct {
	Key            string           `json:"key"`   // hash of the order key
	Fingerprint    string           `json:"print"` // of the request
	Attempt        core.AttemptID   `json:"attempt"`
	Holder         core.InstanceID  `json:"holder"`
	Time           int64            `json:"time"` // Unix milliseconds of the last change, by the holder's clock
	State          State            `json:"state"`
	Status         int              `json:"status,omitempty"`
	Media          string           `json:"media,omitempty"` // content type
	Body           []byte           `json:"body,omitempty"`
	Unframed       bool             `json:"unframed,omitempty"` // see Result
	ResultObject   string           `json:"object,omitempty"`   // name of the result object if the body is not inline
	VoidedAttempts []core.AttemptID `json:"past,omitempty"`     // late messages must not revive them
}

// Archive describes an archive object in the head that lists it.
type Archive struct {
	Number     int   `json:"number"`
	OldestTime int64 `json:"first"` // Time of the oldest entry
	NewestTime int64 `json:"time"`  // Time of the newest entry
	Bytes      int   `json:"bytes"` // size of the object
}

// Head is the content of the head object of a claim shard: recent entries, and a list of the archive objects that hold
// the older ones. An archive object is a Head that lists no archives.
type Head struct {
	NextArchive int       `json:"next"` // lowest archive number that no head has listed yet
	Archives    []Archive `json:"archives,omitempty"`
	Entries     []*Entry  `json:"entries"`
}

// HashKey returns the hash under which an order key is stored.
func HashKey(key core.OrderKey) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}

// ShardOf returns the claim shard of a key hash, or an error if the hash is malformed.
func ShardOf(hash string) (int, error) {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != 16 {
		return 0, errors.Errorf("malformed key hash %.40q", hash)
	}
	return int(b[0]) % Shards, nil
}

func headName(shard int) string { return strconv.Itoa(shard) }

func archiveName(shard, number int) string { return strconv.Itoa(shard) + "." + strconv.Itoa(number) }

// DecodeHead decodes and validates a head or archive object.
func DecodeHead(b []byte) (*Head, error) {
	if len(b) > maxHeadBytes {
		return nil, errors.Errorf("claim object of %d bytes", len(b))
	}
	h := &Head{}
	if err := json.Unmarshal(b, h); err != nil {
		return nil, errors.Wrap(err, "decode claim object")
	}
	last := -1
	for _, a := range h.Archives {
		if a.Number <= last || a.Number >= h.NextArchive {
			return nil, errors.Errorf("claim object lists archive %d after %d, next is %d", a.Number, last, h.NextArchive)
		}
		last = a.Number
	}
	seen := make(map[string]bool, len(h.Entries))
	for _, e := range h.Entries {
		if err := e.validate(); err != nil {
			return nil, err
		}
		if seen[e.Key] {
			return nil, errors.Errorf("claim object lists key %s twice", e.Key)
		}
		seen[e.Key] = true
	}
	return h, nil
}

func (e *Entry) validate() error {
	if e == nil {
		return errors.New("empty claim entry")
	}
	if _, err := ShardOf(e.Key); err != nil {
		return err
	}
	if e.Attempt == "" || len(e.Attempt) > 64 || len(e.Holder) > 256 || len(e.Fingerprint) > 256 || len(e.Media) > 256 ||
		len(e.ResultObject) > 128 || len(e.Body) > InlineBytes || len(e.VoidedAttempts) > maxVoidedAttempts {
		return errors.Errorf("claim entry %s: a field has an invalid length", e.Key)
	}
	switch e.State {
	case StateClaimed, StateVoid, StateDone, StateFailed:
		return nil
	}
	return errors.Errorf("claim entry %s: invalid state %.20q", e.Key, e.State)
}

// settled reports whether the entry is void or has a result.
func (e *Entry) settled() bool { return e.State != StateClaimed }

// hasVoided reports whether the attempt is known to be void.
func (e *Entry) hasVoided(attempt core.AttemptID) bool {
	return slices.Contains(e.VoidedAttempts, attempt) || (e.State == StateVoid && e.Attempt == attempt)
}

// size returns an upper estimate of the size of the entry in JSON: 240 bytes cover the field names, ids and numbers,
// and each byte of text may take up to 6.
func (e *Entry) size() int {
	return 240 + len(e.Fingerprint) + len(e.Holder) + 6*len(e.Media) + len(e.ResultObject) + len(e.Body)*4/3 + len(e.VoidedAttempts)*35
}

// size returns an upper estimate of the size of the head in JSON.
func (h *Head) size() int {
	n := 40 + len(h.Archives)*90
	for _, e := range h.Entries {
		n += e.size()
	}
	return n
}

// find returns the entry of a key and its index, or nil and -1.
func (h *Head) find(key string) (*Entry, int) {
	for i, e := range h.Entries {
		if e.Key == key {
			return e, i
		}
	}
	return nil, -1
}

// clone returns a copy of the head with slices of its own.
func (h *Head) clone() *Head {
	return &Head{NextArchive: h.NextArchive, Archives: slices.Clone(h.Archives), Entries: slices.Clone(h.Entries)}
}

// put adds the entry or replaces the one of the same key.
func (h *Head) put(e *Entry) {
	if _, i := h.find(e.Key); i >= 0 {
		h.Entries[i] = e
		return
	}
	h.Entries = append(h.Entries, e)
}

// appendVoided returns attempts with a voided attempt added. Beyond maxVoidedAttempts the oldest are dropped.
func appendVoided(attempts []core.AttemptID, attempt core.AttemptID) []core.AttemptID {
	if slices.Contains(attempts, attempt) {
		return attempts
	}
	out := append(slices.Clone(attempts), attempt)
	return out[max(0, len(out)-maxVoidedAttempts):]
}

// merge applies the submitted entry want to the current entry of its key, which is nil if there is none. It returns the
// resulting entry, whether it must be written, and whether the submitted change took effect. It is idempotent by
// attempt id: applying the same entry again changes nothing and returns the same answer.
func merge(cur, want *Entry) (next *Entry, write, won bool) {
	switch want.State {
	case StateClaimed:
		switch {
		case cur == nil:
			return want, true, true
		case cur.hasVoided(want.Attempt):
			return cur, false, false // the attempt was voided before this message arrived
		case cur.Attempt == want.Attempt:
			return cur, false, cur.State == StateClaimed
		case cur.State == StateVoid:
			e := *want
			e.VoidedAttempts = appendVoided(cur.VoidedAttempts, cur.Attempt)
			return &e, true, true
		}
		return cur, false, false
	case StateVoid:
		switch {
		case cur == nil:
			return want, true, true
		case cur.hasVoided(want.Attempt):
			return cur, false, true
		case cur.Attempt != want.Attempt && (cur.State == StateDone || cur.State == StateFailed):
			return cur, false, true // finished: no late message can claim the key for this attempt
		case cur.Attempt != want.Attempt:
			e := *cur
			e.VoidedAttempts = appendVoided(cur.VoidedAttempts, want.Attempt)
			return &e, true, true
		case cur.State == StateClaimed:
			e := *want
			e.VoidedAttempts = cur.VoidedAttempts
			return &e, true, true
		}
		return cur, false, false // a finished order is never voided
	default:
		switch {
		case cur == nil:
			// The claim was dropped after the retention time; repeats must still find the result.
			return want, true, true
		case cur.Attempt != want.Attempt:
			return cur, false, false
		case cur.State == StateClaimed:
			e := *want
			e.VoidedAttempts = cur.VoidedAttempts
			return &e, true, true
		}
		return cur, false, cur.State == want.State
	}
}

// entryMessage converts an entry to its message to the owner of the claim shard.
func entryMessage(e *Entry) peer.Claim {
	return peer.Claim{
		Key: e.Key, Print: e.Fingerprint, Attempt: string(e.Attempt), Holder: string(e.Holder), Time: int(e.Time),
		State: peer.ClaimState(e.State), Status: e.Status, Media: e.Media, Unframed: e.Unframed, Object: e.ResultObject,
		Body: base64.StdEncoding.EncodeToString(e.Body),
	}
}

// parseEntry converts a received message to an entry and validates it.
func parseEntry(c peer.Claim) (*Entry, error) {
	body, err := base64.StdEncoding.DecodeString(c.Body)
	if err != nil {
		return nil, errors.Wrap(err, "claim body")
	}
	if len(body) == 0 {
		body = nil
	}
	e := &Entry{
		Key: c.Key, Fingerprint: c.Print, Attempt: core.AttemptID(c.Attempt), Holder: core.InstanceID(c.Holder),
		Time: int64(c.Time), State: State(c.State), Status: c.Status, Media: c.Media, Unframed: c.Unframed, ResultObject: c.Object, Body: body,
	}
	return e, e.validate()
}

// expire removes archives and entries that are older than before, and returns them. Entries of the head are removed only
// when no archive is left, because a head entry may supersede an archived entry of the same key.
func (h *Head) expire(before time.Time) (archives []Archive, entries []*Entry) {
	ms := before.UnixMilli()
	for len(h.Archives) > 0 && h.Archives[0].NewestTime < ms {
		archives, h.Archives = append(archives, h.Archives[0]), h.Archives[1:]
	}
	if len(h.Archives) > 0 {
		return archives, nil
	}
	h.Entries = slices.DeleteFunc(h.Entries, func(e *Entry) bool {
		old := e.Time < ms
		if old {
			entries = append(entries, e)
		}
		return old
	})
	return archives, entries
}

// split divides the entries for a rollover. Settled entries and claims older than before are archived. Newer claims stay
// in the head, where most of them will be settled; but if they exceed limit bytes, all entries are archived.
func (h *Head) split(before time.Time, limit int) (archive, kept []*Entry) {
	ms := before.UnixMilli()
	keptBytes := 0
	for _, e := range h.Entries {
		if e.settled() || e.Time < ms {
			archive = append(archive, e)
		} else {
			kept, keptBytes = append(kept, e), keptBytes+e.size()
		}
	}
	if keptBytes > limit {
		return h.Entries, nil
	}
	return archive, kept
}
