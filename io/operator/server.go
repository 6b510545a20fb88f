package operator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"monsoondale/core"
	"monsoondale/core/workspace"
	wire "monsoondale/wire/operator"
)

// Instance is the instance that serves the API.
type Instance interface {
	// Ready reports whether requests of callers can be served, and if not, why. Until then changes are refused, since they
	// cannot be checked without the configuration.
	Ready() (ready bool, reason string)
	// Status returns the state of all instances.
	Status(ctx context.Context) (wire.Status, error)
	// Report returns the merged counts of all instances.
	Report(ctx context.Context) (wire.Report, error)
	// SetLogLevel sets the log level of this instance.
	SetLogLevel(level string) error
}

// Options configures the API. The fields up to Keys are required.
type Options struct {
	Store    Store
	Checker  Checker
	Instance Instance
	Keys     map[string][sha256.Size]byte // SHA-256 hashes of the keys by operator name
	Metrics  metrics.Registry
	Counts   func() []wire.Row // request counts of this instance, see report.Recorder
	// OnWrite is called with each written object before the operator gets the response, so that this instance applies and
	// spreads it immediately.
	OnWrite        func(StoredObject)
	Now            func() time.Time
	ResolveTimeout time.Duration // limits the time to resolve an undetermined write; default 5 s
}

// NewServer returns an HTTP server for the operator API. The address or listener is up to the caller.
func NewServer(o Options) *http.Server {
	return &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      time.Minute, // a report of 48,000 workspaces takes seconds on a slow connection
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
}

// NewHandler returns the handler of the operator API. Only the probes are served without an operator key.
func NewHandler(o Options) http.Handler {
	if o.OnWrite == nil {
		o.OnWrite = func(StoredObject) {}
	}
	if o.Counts == nil {
		o.Counts = func() []wire.Row { return nil }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	s := &server{Options: o, changer: &changer{
		ready: o.Instance.Ready, store: o.Store, checker: o.Checker, onWrite: o.OnWrite, now: o.Now, resolveTimeout: cmp.Or(o.ResolveTimeout, defaultResolveTimeout),
	}}
	mux := http.NewServeMux()
	cfg := huma.DefaultConfig("monsoondale operator API", "1")
	cfg.DocsPath = "" // the page would load scripts from other hosts
	cfg.SchemasPath = ""
	cfg.CreateHooks = nil // no $schema members in responses
	cfg.Components.SecuritySchemes = map[string]*huma.SecurityScheme{"key": {Type: "http", Scheme: "bearer"}}
	cfg.Security = []map[string][]string{{"key": {}}}
	api := humago.New(mux, cfg)
	s.registerObjects(api, workspace.ObjectTemplate, "/templates")
	s.registerObjects(api, workspace.ObjectWorkspace, "/workspaces")
	s.registerInspection(api)
	return s.authenticate(mux)
}

type server struct {
	Options
	changer *changer
}

// publicPaths need no key.
var publicPaths = []string{"/healthz", "/readyz"}

type authorKey struct{}

// authenticate requires an operator key and puts the name of the operator into the context. The key is compared with
// every known key in constant time, so that the time reveals nothing about them.
func (s *server) authenticate(next http.Handler) http.Handler {
	names := lo.Keys(s.Keys)
	slices.Sort(names)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(publicPaths, r.URL.Path) {
			next.ServeHTTP(w, r)
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(key))
		author := -1
		for i, n := range names {
			want := s.Keys[n]
			author = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(want[:], hash[:]), i, author)
		}
		if !ok || author < 0 {
			f := newFailure(core.Errorf(core.CodeForbidden, "send an operator key as Authorization: Bearer <key>"))
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(f.GetStatus())
			_ = json.NewEncoder(w).Encode(f) // the client may have disconnected
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), authorKey{}, names[author])))
	})
}

// failure is an error response.
type failure struct {
	wire.Failure
	status int
}

// GetStatus returns the HTTP status.
func (f *failure) GetStatus() int { return f.status }

// Error returns the message of the failure.
func (f *failure) Error() string { return f.Failure.Error.Message }

// newFailure converts an error to a response. Errors without a result code become CodeChangeRejected.
func newFailure(err error) *failure {
	var e *core.Error
	if !errors.As(err, &e) {
		e = core.Errorf(core.CodeChangeRejected, "%v", err)
	}
	f := &failure{status: e.Code.Info().Status}
	f.Failure.Error = wire.Fault{
		Code: int(e.Code), Class: e.Code.Class().String(),
		Message: lo.CoalesceOrEmpty(e.Detail, e.Code.Info().Meaning),
	}
	var c *conflictError
	if errors.As(err, &c) {
		f.Failure.Error.Current = &c.current
	}
	return f
}

// huma creates its own errors, such as for invalid parameters or body sizes, by this variable.
func init() {
	huma.NewError = func(status int, message string, errs ...error) huma.StatusError {
		code := core.CodeBadRequest
		switch {
		case status == http.StatusRequestEntityTooLarge:
			code = core.CodeBodyTooLarge
		case status == http.StatusNotFound:
			code = core.CodeNotFound
		case status >= http.StatusInternalServerError:
			code = core.CodeChangeRejected
		}
		for _, err := range errs {
			var d *huma.ErrorDetail
			if errors.As(err, &d) { // omits the value, which may be a whole body
				message += "; " + strings.TrimPrefix(d.Location+": ", ": ") + d.Message
			} else if err != nil {
				message += "; " + err.Error()
			}
		}
		f := newFailure(core.Errorf(code, "%s", message))
		f.status = status
		return f
	}
}

// handle converts the errors of f to error responses.
func handle[I, O any](f func(context.Context, *I) (*O, error)) func(context.Context, *I) (*O, error) {
	return func(ctx context.Context, in *I) (*O, error) {
		out, err := f(ctx, in)
		if err != nil {
			return nil, newFailure(err)
		}
		return out, nil
	}
}

type body[T any] struct {
	Body T
}

type nameInput struct {
	Name string `path:"name"`
}

type objectOutput struct {
	ETag string `header:"ETag"`
	Body wire.Object
}

type changeOutput struct {
	ETag string `header:"ETag"`
	Body wire.Change
}

// Preconditions are the parameters of every change. Either If-Match or If-None-Match is required, so that no change
// overwrites one that its author has not seen. The type is exported because huma fills only exported embedded fields.
type Preconditions struct {
	Name        string `path:"name"`
	IfMatch     string `header:"If-Match" doc:"Version that the change replaces, in double quotes."`
	IfNoneMatch string `header:"If-None-Match" doc:"* if the object must not exist."`
	Change      string `header:"X-Change-Id" doc:"Unique id of the change; a repeated id is not carried out twice."`
	DryRun      bool   `query:"dry-run" doc:"Check the change and return its effect without making it."`
}

type putInput struct {
	Preconditions
	File    string `query:"file" doc:"Name of the document in error messages."`
	RawBody []byte `contentType:"application/json" doc:"The document, in JSON with comments."`
}

var changeIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

func (p *Preconditions) request(ctx context.Context, kind string) (changeRequest, error) {
	author, _ := ctx.Value(authorKey{}).(string)
	r := changeRequest{kind: kind, name: p.Name, author: author, changeID: cmp.Or(p.Change, core.NewID()), dryRun: p.DryRun}
	if !changeIDPattern.MatchString(r.changeID) {
		return r, core.Errorf(core.CodeBadRequest, "X-Change-Id: not an id; use 32 random lower-case hexadecimal digits")
	}
	switch {
	case p.IfNoneMatch == "*" && p.IfMatch == "":
		return r, nil
	case p.IfMatch != "" && p.IfNoneMatch == "":
		text, err := strconv.Unquote(p.IfMatch)
		n, parseErr := strconv.ParseInt(text, 10, 64)
		if err != nil || parseErr != nil || n <= 0 {
			return r, core.Errorf(core.CodeBadRequest, `If-Match: %s is not a version; use the ETag of a GET, such as "12"`, p.IfMatch)
		}
		r.version = core.Revision(n)
		return r, nil
	}
	return r, core.Errorf(core.CodeBadRequest, "send either If-Match with the version that the change replaces, or If-None-Match: * for a new object")
}

func etag(version int) string {
	if version == 0 {
		return ""
	}
	return strconv.Quote(strconv.Itoa(version))
}

func (s *server) registerObjects(api huma.API, kind, path string) {
	operation := func(method, path, verb, summary string) huma.Operation {
		return huma.Operation{OperationID: verb + "-" + kind, Method: method, Path: path, Summary: summary, Tags: []string{kind}}
	}
	huma.Register(api, operation(http.MethodGet, path, "list", "List all objects of this kind"),
		handle(func(ctx context.Context, _ *struct{}) (*body[wire.Objects], error) {
			all, err := s.Store.List(ctx, kind)
			if err != nil {
				return nil, rejected(err)
			}
			out := wire.Objects{Items: []wire.Object{}}
			for _, x := range all {
				if o := decodeObject(x); o.version() > 0 {
					w := o.wire()
					w.Text = ""
					out.Items = append(out.Items, w)
				}
			}
			slices.SortFunc(out.Items, func(a, b wire.Object) int { return cmp.Compare(a.Name, b.Name) })
			return &body[wire.Objects]{out}, nil
		}))
	huma.Register(api, operation(http.MethodGet, path+"/{name}", "get", "Read an object"),
		handle(func(ctx context.Context, in *nameInput) (*objectOutput, error) {
			stored, err := s.Store.Get(ctx, kind, in.Name)
			if err != nil {
				return nil, rejected(err)
			}
			o := decodeObject(stored)
			if o.version() == 0 {
				return nil, core.Errorf(core.CodeNoSuchObject, "%s/%s", kind, in.Name)
			}
			w := o.wire()
			return &objectOutput{etag(w.Version), w}, nil
		}))
	put := operation(http.MethodPut, path+"/{name}", "put", "Create or replace an object")
	put.MaxBodyBytes = MaxDocumentBytes
	put.SkipValidateBody = true // the document may contain comments; workspace.Compiler checks it
	huma.Register(api, put, handle(func(ctx context.Context, in *putInput) (*changeOutput, error) {
		r, err := in.request(ctx, kind)
		if err != nil {
			return nil, err
		}
		r.text, r.file = string(in.RawBody), in.File
		return s.change(ctx, r)
	}))
	huma.Register(api, operation(http.MethodDelete, path+"/{name}", "delete", "Delete an object"),
		handle(func(ctx context.Context, in *Preconditions) (*changeOutput, error) {
			r, err := in.request(ctx, kind)
			if err != nil {
				return nil, err
			}
			r.deleted = true
			return s.change(ctx, r)
		}))
}

func (s *server) change(ctx context.Context, r changeRequest) (*changeOutput, error) {
	out, err := s.changer.do(ctx, r)
	if err != nil {
		return nil, err
	}
	return &changeOutput{etag(out.Version), out}, nil
}

// Problems returns the problems of a plan as they appear in Status.
func Problems(p *workspace.Plan) []wire.Problem {
	return lo.Map(p.Problems(), func(x workspace.Problem, _ int) wire.Problem {
		return wire.Problem{Kind: x.Kind, Name: x.Name, Version: int(x.Version), Stale: x.Stale, Detail: x.Detail}
	})
}

type historyInput struct {
	Kind  string `query:"kind" enum:"template,workspace" doc:"Only objects of this kind."`
	Name  string `query:"name" doc:"Only the object of this name."`
	Limit int    `query:"limit" default:"50" minimum:"1" maximum:"1000"`
}

func (s *server) history(ctx context.Context, in *historyInput) (*body[wire.History], error) {
	out := wire.History{Items: []wire.Event{}}
	for _, kind := range []string{workspace.ObjectTemplate, workspace.ObjectWorkspace} {
		if in.Kind != "" && in.Kind != kind {
			continue
		}
		var all []StoredObject
		var err error
		if in.Name != "" {
			var one StoredObject
			one, err = s.Store.Get(ctx, kind, in.Name)
			all = []StoredObject{one}
		} else {
			all, err = s.Store.List(ctx, kind)
		}
		if err != nil {
			return nil, rejected(err)
		}
		for _, x := range all {
			out.Items = append(out.Items, decodeObject(x).events()...)
		}
	}
	slices.SortFunc(out.Items, func(a, b wire.Event) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	out.Items = lo.Slice(out.Items, 0, in.Limit)
	return &body[wire.History]{out}, nil
}

var levels = []wire.LevelLevel{wire.LevelLevelError, wire.LevelLevelInfo, wire.LevelLevelDebug, wire.LevelLevelTrace}

type probeOutput struct {
	Status int
	Body   wire.Health
}

type textOutput struct {
	ContentType string `header:"Content-Type"`
	Body        []byte
}

func (s *server) registerInspection(api huma.API) {
	operation := func(path, id, summary string) huma.Operation {
		return huma.Operation{OperationID: id, Method: http.MethodGet, Path: path, Summary: summary, Tags: []string{"instance"}}
	}
	huma.Register(api, operation("/status", "status", "State of the instances and their configuration"),
		handle(func(ctx context.Context, _ *struct{}) (*body[wire.Status], error) {
			st, err := s.Instance.Status(ctx)
			return &body[wire.Status]{st}, err
		}))
	huma.Register(api, operation("/history", "history", "Changes of templates and workspaces"), handle(s.history))
	huma.Register(api, operation("/report", "report", "Counts of all instances"),
		handle(func(ctx context.Context, _ *struct{}) (*body[wire.Report], error) {
			rep, err := s.Instance.Report(ctx)
			return &body[wire.Report]{rep}, err
		}))
	huma.Register(api, operation("/metrics", "metrics", "Metrics in the text format of Prometheus"),
		handle(func(context.Context, *struct{}) (*textOutput, error) {
			b, err := FormatMetrics(s.Metrics, s.Counts())
			return &textOutput{metricsContentType, b}, err
		}))
	probe := func(path, id, summary string, state func() (bool, string)) {
		op := operation(path, id, summary)
		op.Security = []map[string][]string{}
		huma.Register(api, op, func(context.Context, *struct{}) (*probeOutput, error) {
			if ok, reason := state(); !ok {
				return &probeOutput{http.StatusServiceUnavailable, wire.Health{Status: "unavailable", Reason: reason}}, nil
			}
			return &probeOutput{http.StatusOK, wire.Health{Status: "ok"}}, nil
		})
	}
	probe("/healthz", "healthz", "Whether the process answers", func() (bool, string) { return true, "" })
	probe("/readyz", "readyz", "Whether callers' requests can be served", s.Instance.Ready)
	level := operation("/loglevel", "loglevel", "Change the log level of this instance")
	level.Method = http.MethodPut
	huma.Register(api, level, handle(func(_ context.Context, in *body[wire.Level]) (*body[wire.Level], error) {
		if !slices.Contains(levels, in.Body.Level) {
			return nil, core.Errorf(core.CodeBadRequest, "level: %q is not a log level; use error, info, debug or trace", in.Body.Level)
		}
		if err := s.Instance.SetLogLevel(string(in.Body.Level)); err != nil {
			return nil, err
		}
		return in, nil
	}))
}
