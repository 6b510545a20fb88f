package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/workspace"
	"monsoondale/wire/config"
	wire "monsoondale/wire/operator"
)

// MaxDocumentBytes limits the size of a document, so that an object with its past changes stays well below the object
// API's limit of 1 MB.
const MaxDocumentBytes = 256 << 10

// defaultResolveTimeout limits how long an undetermined write is retried and read back before its outcome is reported
// as unknown (code 3003).
const defaultResolveTimeout = 5 * time.Second

// changeRequest is a change requested by an operator.
type changeRequest struct {
	kind, name string
	file       string        // name of the document in error messages
	text       string        // empty for a deletion
	deleted    bool          // the object is to be deleted
	version    core.Revision // the version to replace, 0 if the object must not exist
	author     string
	changeID   string // unique id of the change
	dryRun     bool   // check the change without making it
}

// object is a stored object and its decoded value.
type object struct {
	stored StoredObject
	doc    config.Stored
}

// decodeObject decodes a stored object. A value in another form is taken as a bare document.
func decodeObject(s StoredObject) object {
	doc, ok := workspace.DecodeStored(s.Value)
	if !ok {
		doc = config.Stored{Text: s.Value, Deleted: s.Version == 0}
	}
	return object{stored: s, doc: doc}
}

// version returns the version shown to operators, which is 0 if the object does not exist or was deleted.
func (o object) version() core.Revision {
	if o.doc.Deleted {
		return 0
	}
	return o.stored.Version
}

func (o object) wire() wire.Object {
	return wire.Object{
		Kind: o.stored.Kind, Name: o.stored.Name, Version: int(o.version()),
		Author: o.doc.Author, Time: o.doc.Time, Change: o.doc.Change, Text: o.doc.Text,
	}
}

// events returns the changes of the object, latest first.
func (o object) events() []wire.Event {
	if o.stored.Version == 0 {
		return nil
	}
	latest := wire.Event{
		Kind: o.stored.Kind, Name: o.stored.Name, Version: int(o.stored.Version),
		Author: o.doc.Author, Time: o.doc.Time, Change: o.doc.Change, Deleted: o.doc.Deleted,
	}
	return append([]wire.Event{latest}, lo.Map(o.doc.Past, func(p config.Past, _ int) wire.Event {
		return wire.Event{Kind: o.stored.Kind, Name: o.stored.Name, Version: p.Version, Author: p.Author, Time: p.Time, Change: p.Change, Deleted: p.Deleted}
	})...)
}

// replacement returns the value that the change writes, including the past changes of the object.
func (o object) replacement(r changeRequest, now time.Time) (string, error) {
	s := config.Stored{Text: r.text, Deleted: r.deleted, Change: r.changeID, Author: r.author, Time: int(now.UnixMilli())}
	if o.stored.Version > 0 {
		last := config.Past{Version: int(o.stored.Version), Change: o.doc.Change, Author: o.doc.Author, Time: o.doc.Time, Deleted: o.doc.Deleted}
		s.Past = lo.Slice(append([]config.Past{last}, o.doc.Past...), 0, workspace.MaxHistory)
	}
	return workspace.EncodeStored(s)
}

// conflictError is an error with code 1403 and the current object.
type conflictError struct {
	err     *core.Error
	current wire.Object
}

// Error returns the result code and both versions.
func (e *conflictError) Error() string { return e.err.Error() }

// Unwrap returns the result code.
func (e *conflictError) Unwrap() error { return e.err }

func newConflictError(cur object, r changeRequest) error {
	state := fmt.Sprintf("%s/%s now has version %d", r.kind, r.name, cur.version())
	if cur.version() == 0 {
		state = fmt.Sprintf("%s/%s does not exist", r.kind, r.name)
	}
	if cur.doc.Author != "" {
		state += fmt.Sprintf(", changed by %s at %s", cur.doc.Author, time.UnixMilli(int64(cur.doc.Time)).UTC().Format(time.RFC3339))
	}
	expected := lo.Ternary(r.version == 0, "the change expects a new object", fmt.Sprintf("the change expects version %d", r.version))
	return &conflictError{core.Errorf(core.CodeConflict, "%s; %s", state, expected), cur.wire()}
}

// changer checks and writes changes.
type changer struct {
	ready          func() (ready bool, reason string)
	store          Store
	checker        Checker
	onWrite        func(StoredObject)
	now            func() time.Time
	resolveTimeout time.Duration
}

// do checks a change and makes it by a conditional write. If the error is of class "not run", nothing was written.
func (c *changer) do(ctx context.Context, r changeRequest) (wire.Change, error) {
	out := wire.Change{Kind: r.kind, Name: r.name, Change: r.changeID, Trial: r.dryRun, Deleted: r.deleted}
	if ready, reason := c.ready(); !ready { // a change can be checked only against the configuration
		return out, core.Errorf(core.CodeNotReady, "%s", reason)
	}
	stored, err := c.store.Get(ctx, r.kind, r.name)
	if err != nil {
		return out, rejected(err)
	}
	cur := decodeObject(stored)
	out.Version = int(cur.version())
	if cur.stored.Version > 0 && cur.doc.Change == r.changeID { // a retry of a change that was already made
		return out, nil
	}
	if r.version != cur.version() {
		return out, newConflictError(cur, r)
	}
	if r.deleted && r.version == 0 {
		return out, core.Errorf(core.CodeNoSuchObject, "%s/%s", r.kind, r.name)
	}
	out.Affected, err = c.checker.Check(workspace.Object{Kind: r.kind, Name: r.name, File: r.file, Value: r.text, Deleted: r.deleted})
	if err != nil {
		return out, err
	}
	out.Diff = diff(r, cur)
	out.Unchanged = !r.deleted && r.version > 0 && r.text == cur.doc.Text
	if r.dryRun || out.Unchanged {
		return out, nil
	}
	value, err := cur.replacement(r, c.now())
	if err != nil {
		return out, rejected(err)
	}
	version, err := c.write(ctx, r, value, cur.stored.Version)
	if err != nil {
		return out, err
	}
	out.Version = int(version)
	c.onWrite(StoredObject{Kind: r.kind, Name: r.name, Version: version, Value: value})
	return out, nil
}

// write makes the conditional write and returns the new version. After a lost response the object is read back; if it
// is unchanged, the write is retried with the same condition, since the first one may still take effect later. At most
// one of them can, and the change id shows whether one did.
func (c *changer) write(ctx context.Context, r changeRequest, value string, old core.Revision) (core.Revision, error) {
	// Once a write was sent, its outcome is resolved even if the operator cancels the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.resolveTimeout)
	defer cancel()
	sent := false
	attempt := func() (core.Revision, error) {
		version, err := c.store.Put(ctx, r.kind, r.name, value, old)
		var conflict *ConflictError
		var undetermined *UndeterminedError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict) && !sent:
			return 0, backoff.Permanent(newConflictError(decodeObject(conflict.Current), r))
		case errors.As(err, &conflict):
			return resolveOutcome(decodeObject(conflict.Current), r, old)
		case errors.As(err, &undetermined):
			sent = true
		case !sent:
			return 0, backoff.Permanent(rejected(err))
		}
		if s, getErr := c.store.Get(ctx, r.kind, r.name); getErr == nil && s.Version != old {
			return resolveOutcome(decodeObject(s), r, old)
		}
		return 0, err
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	version, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(c.resolveTimeout))
	if err != nil && codeOf(err) == 0 {
		return 0, unknownOutcome(r, err)
	}
	return version, err
}

// resolveOutcome decides whether the change took effect, given an object whose version is no longer old: it did if its
// id is that of the current or a past change. If the recorded past does not reach back to old, the outcome is unknown.
func resolveOutcome(cur object, r changeRequest, old core.Revision) (core.Revision, error) {
	if cur.doc.Change == r.changeID {
		return cur.stored.Version, nil
	}
	for _, p := range cur.doc.Past {
		if p.Change == r.changeID {
			return core.Revision(p.Version), nil
		}
	}
	covered := lo.SomeBy(cur.doc.Past, func(p config.Past) bool { return core.Revision(p.Version) == old })
	if covered || old == 0 && cur.doc.Change != "" && len(cur.doc.Past) < workspace.MaxHistory {
		return 0, backoff.Permanent(newConflictError(cur, r))
	}
	return 0, backoff.Permanent(unknownOutcome(r, errors.New("the object's past does not reach back to the change")))
}

// codeOf returns the result code of an error, or 0.
func codeOf(err error) core.Code {
	var e *core.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}

// unknownOutcome returns an error that the outcome of the change is unknown.
func unknownOutcome(r changeRequest, err error) error {
	return core.Errorf(core.CodeChangeUnknown, "%s/%s, change %s: %v", r.kind, r.name, r.changeID, err)
}

// rejected returns err with CodeChangeRejected, unless it has a result code already.
func rejected(err error) error {
	if codeOf(err) != 0 {
		return err
	}
	return core.Errorf(core.CodeChangeRejected, "%v", err)
}

// diff returns a unified diff of the current and the new document, empty if they are equal.
func diff(r changeRequest, cur object) string {
	label := r.kind + "/" + r.name
	old := lo.Ternary(cur.version() == 0, "", cur.doc.Text)
	if old == r.text {
		return ""
	}
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: lines(old), B: lines(r.text), Context: 3,
		FromFile: lo.Ternary(old == "", "(none)", fmt.Sprintf("%s version %d", label, cur.version())),
		ToFile:   lo.Ternary(r.deleted, "(deleted)", lo.CoalesceOrEmpty(r.file, label)),
	})
	if err != nil { // cannot happen: only the writer can fail, and it is a buffer
		return err.Error()
	}
	return out
}

func lines(s string) []string {
	if s == "" {
		return nil
	}
	return difflib.SplitLines(strings.TrimSuffix(s, "\n"))
}
