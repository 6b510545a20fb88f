package instance

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"monsoondale/common/certs"
	"monsoondale/common/jsonc"
	"monsoondale/core"
)

// PeerKeyEnv is the environment variable that holds the key that this instance presents to its peers. The settings hold
// only hashes of keys.
const PeerKeyEnv = "MONSOONDALE_PEER_KEY"

// Settings are the validated settings of one instance.
type Settings struct {
	Name     core.InstanceID
	Region   core.Region
	Centre   core.DataCentre
	Listen   Listen
	Platform Platform
	Keys     Keys
	TLS      TLS
	Log      LogLevel
	OTLP     string // URL of an OTLP/HTTP trace collector, empty for none
	Limits   Limits
}

// Listen holds the addresses that the instance listens on. Port 0 selects a free port.
type Listen struct {
	Caller, Operator, Peer netip.AddrPort
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Objects, Instances string
}

// Hash is the SHA-256 hash of a key.
type Hash = [sha256.Size]byte

// Keys holds the hashes of the keys that are accepted, and the key that is presented to peers.
type Keys struct {
	Operator map[string]Hash // by operator name, which the history shows
	Peer     []Hash          // if empty, messages of peers are not authenticated
	PeerKey  string          // presented to peers; from PeerKeyEnv, with its hash in Peer
}

// TLS holds the certificate files of each listener. A listener without files does not use TLS. The files of the peer
// listener also secure the connections that this instance opens to peers.
type TLS struct {
	Caller, Operator, Peer certs.Files
}

// Limits holds the limits of the instance.
type Limits struct {
	Body  int64         // maximum size of a request body in bytes
	Queue int           // maximum number of asks queued at one shard
	Drain time.Duration // maximum wait for running requests during shutdown
	Width int           // maximum number of endpoints in a shard
}

// LogLevel selects which log lines are written.
type LogLevel string

// The log levels, from the fewest lines to the most.
const (
	LogError LogLevel = "error"
	LogInfo  LogLevel = "info"
	LogDebug LogLevel = "debug"
	LogTrace LogLevel = "trace"
)

// LogLevels lists the log levels, from the fewest lines to the most.
var LogLevels = []LogLevel{LogError, LogInfo, LogDebug, LogTrace}

// Verbosity returns the highest logr V-level that is written. Errors are always written, even at -1.
func (l LogLevel) Verbosity() int { return slices.Index(LogLevels, l) - 1 }

// settingsFile is the JSON structure of the settings file.
type settingsFile struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Centre string `json:"centre"`
	Listen struct {
		Caller   string `json:"caller"`
		Operator string `json:"operator"`
		Peer     string `json:"peer"`
	} `json:"listen"`
	Platform struct {
		Objects   string `json:"objects"`
		Instances string `json:"instances"`
	} `json:"platform"`
	Keys struct {
		Operator map[string]string `json:"operator"`
		Peer     []string          `json:"peer"`
	} `json:"keys"`
	TLS struct {
		Caller   tlsPair `json:"caller"`
		Operator tlsPair `json:"operator"`
		Peer     struct {
			Cert string `json:"cert"`
			Key  string `json:"key"`
			CA   string `json:"ca"`
		} `json:"peer"`
	} `json:"tls"`
	Log struct {
		Level string `json:"level"`
	} `json:"log"`
	Trace struct {
		OTLP string `json:"otlp"`
	} `json:"trace"`
	Limits struct {
		Body  int64  `json:"body"`
		Queue int    `json:"queue"`
		Drain string `json:"drain"`
		Width int    `json:"width"`
	} `json:"limits"`
}

type tlsPair struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// settingViolation is a violation of a rule. Its field may be nested below the field of the rule.
type settingViolation struct{ field, problem, remedy string }

// settingRule describes and checks one setting. docs/settings.md is generated from these rules.
type settingRule struct {
	field        string
	format       string
	defaultValue string // as shown in docs/settings.md; empty if the setting is required
	help         string
	apply        func(f *settingsFile, s *Settings, present bool) []settingViolation
}

// newRule returns the rule of a setting that get reads from the file and set checks and stores. If defaultValue is nil,
// the setting is required.
func newRule[T any](field, format string, defaultValue *T, help string, get func(*settingsFile) T, set func(*Settings, T) []settingViolation) settingRule {
	r := settingRule{field: field, format: format, help: help}
	if defaultValue != nil {
		r.defaultValue = fmt.Sprint(*defaultValue)
		if r.defaultValue == "" || r.defaultValue == "[]" || r.defaultValue == "map[]" {
			r.defaultValue = "none"
		}
	}
	r.apply = func(f *settingsFile, s *Settings, present bool) []settingViolation {
		v := get(f)
		if !present {
			if defaultValue == nil {
				return violation(field, "the setting is missing", "add "+format)
			}
			v = *defaultValue
		}
		return set(s, v)
	}
	return r
}

func violation(field, problem, remedy string) []settingViolation {
	return []settingViolation{{field, problem, remedy}}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nameFormat = "1 to 63 lower-case letters, digits and hyphens"

func nameRule(field, help string, get func(*settingsFile) string, set func(*Settings, string)) settingRule {
	return newRule(field, nameFormat, nil, help, get, func(s *Settings, v string) []settingViolation {
		if !namePattern.MatchString(v) {
			return violation(field, fmt.Sprintf("%q is not a valid name", v), "use "+nameFormat)
		}
		set(s, v)
		return nil
	})
}

func addressRule(field, help string, get func(*settingsFile) string, target func(*Settings) *netip.AddrPort) settingRule {
	const format = `an IP address and port such as "10.0.0.5:7001"`
	return newRule(field, format, nil, help, get, func(s *Settings, v string) []settingViolation {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return violation(field, fmt.Sprintf("%q is not an address", v), "use "+format)
		}
		*target(s) = a
		return nil
	})
}

func urlRule(field, format string, defaultValue *string, help string, get func(*settingsFile) string, target func(*Settings) *string) settingRule {
	return newRule(field, format, defaultValue, help, get, func(s *Settings, v string) []settingViolation {
		if v == "" && defaultValue != nil {
			return nil
		}
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return violation(field, fmt.Sprintf("%q is not a base URL", v), "use "+format)
		}
		*target(s) = strings.TrimSuffix(v, "/")
		return nil
	})
}

func numberRule[T int | int64](field, unit string, defaultValue, low, high T, help string, get func(*settingsFile) T, target func(*Settings) *T) settingRule {
	format := fmt.Sprintf("a whole number of %d to %d %s", low, high, unit)
	return newRule(field, format, &defaultValue, help, get, func(s *Settings, v T) []settingViolation {
		if v < low || v > high {
			return violation(field, fmt.Sprintf("%d is out of range", v), "use "+format)
		}
		*target(s) = v
		return nil
	})
}

func fileRule(field, help string, get func(*settingsFile) string, target func(*Settings) *string) settingRule {
	const format = `an absolute path such as "/etc/monsoondale/tls.pem"`
	return newRule(field, format, lo.ToPtr(""), help, get, func(s *Settings, v string) []settingViolation {
		if v != "" && !filepath.IsAbs(v) {
			return violation(field, fmt.Sprintf("%q is not an absolute path", v), "use "+format)
		}
		*target(s) = v
		return nil
	})
}

const (
	hashFormat = "the 64 hexadecimal digits of its SHA-256 hash"
	maxDrain   = 24 * time.Hour
)

func parseHash(s string) (h Hash, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, false
	}
	return Hash(b), true
}

// settingRules holds the rules of all settings, in the order of docs/settings.md.
var settingRules = []settingRule{
	nameRule("name", "Name of this instance, as in the instance list. Each instance has its own.",
		func(f *settingsFile) string { return f.Name }, func(s *Settings, v string) { s.Name = core.InstanceID(v) }),
	nameRule("region", "Region of this instance. Requests are served by endpoints of the same region.",
		func(f *settingsFile) string { return f.Region }, func(s *Settings, v string) { s.Region = core.Region(v) }),
	nameRule("centre", "Data centre of this instance.",
		func(f *settingsFile) string { return f.Centre }, func(s *Settings, v string) { s.Centre = core.DataCentre(v) }),
	addressRule("listen.caller", "Address for the requests of callers.",
		func(f *settingsFile) string { return f.Listen.Caller }, func(s *Settings) *netip.AddrPort { return &s.Listen.Caller }),
	addressRule("listen.operator", "Address for operators, metrics and probes.",
		func(f *settingsFile) string { return f.Listen.Operator }, func(s *Settings) *netip.AddrPort { return &s.Listen.Operator }),
	addressRule("listen.peer", "Address for the messages of other instances; the instance list must show this address.",
		func(f *settingsFile) string { return f.Listen.Peer }, func(s *Settings) *netip.AddrPort { return &s.Listen.Peer }),
	urlRule("platform.objects", `a URL such as "http://10.0.0.2:7100"`, nil, "Base URL of the platform's object API.",
		func(f *settingsFile) string { return f.Platform.Objects }, func(s *Settings) *string { return &s.Platform.Objects }),
	urlRule("platform.instances", `a URL such as "http://10.0.0.2:7101"`, nil, "Base URL of the platform's instance list.",
		func(f *settingsFile) string { return f.Platform.Instances }, func(s *Settings) *string { return &s.Platform.Instances }),
	newRule("keys.operator", "an object of operator names and, for each key, "+hashFormat, nil,
		"Keys that the operator API accepts. The history shows the names. At least one is needed.",
		func(f *settingsFile) map[string]string { return f.Keys.Operator }, setOperatorKeys),
	newRule("keys.peer", "a list with, for each key, "+hashFormat, &[]string{},
		"Keys that other instances may present. With this setting the environment variable "+PeerKeyEnv+
			" must hold one of the keys, which this instance presents itself. Without it the messages of other instances are not authenticated.",
		func(f *settingsFile) []string { return f.Keys.Peer }, setPeerKeys),
	fileRule("tls.caller.cert", "Certificate chain in PEM of the listener for callers. Without it the listener speaks cleartext.",
		func(f *settingsFile) string { return f.TLS.Caller.Cert }, func(s *Settings) *string { return &s.TLS.Caller.Cert }),
	fileRule("tls.caller.key", "Private key in PEM of `tls.caller.cert`.",
		func(f *settingsFile) string { return f.TLS.Caller.Key }, func(s *Settings) *string { return &s.TLS.Caller.Key }),
	fileRule("tls.operator.cert", "Certificate chain in PEM of the listener for operators. Without it the listener speaks cleartext.",
		func(f *settingsFile) string { return f.TLS.Operator.Cert }, func(s *Settings) *string { return &s.TLS.Operator.Cert }),
	fileRule("tls.operator.key", "Private key in PEM of `tls.operator.cert`.",
		func(f *settingsFile) string { return f.TLS.Operator.Key }, func(s *Settings) *string { return &s.TLS.Operator.Key }),
	fileRule("tls.peer.cert", "Certificate chain in PEM of the listener for other instances. This instance presents it to them too, so it must be valid for both sides of a connection and name the IP address of `listen.peer`. With it `tls.peer.key` and `tls.peer.ca` are required. Set it on all instances of a deployment or on none.",
		func(f *settingsFile) string { return f.TLS.Peer.Cert }, func(s *Settings) *string { return &s.TLS.Peer.Cert }),
	fileRule("tls.peer.key", "Private key in PEM of `tls.peer.cert`.",
		func(f *settingsFile) string { return f.TLS.Peer.Key }, func(s *Settings) *string { return &s.TLS.Peer.Key }),
	fileRule("tls.peer.ca", "Authorities in PEM that the certificates of other instances must come from.",
		func(f *settingsFile) string { return f.TLS.Peer.CA }, func(s *Settings) *string { return &s.TLS.Peer.CA }),
	newRule("log.level", `"error", "info", "debug" or "trace"`, lo.ToPtr(string(LogInfo)), "Log lines that are written. Operators can change it while the instance runs.",
		func(f *settingsFile) string { return f.Log.Level },
		func(s *Settings, v string) []settingViolation {
			if s.Log = LogLevel(v); !slices.Contains(LogLevels, s.Log) {
				return violation("log.level", fmt.Sprintf("%q is not a log level", v), `use "error", "info", "debug" or "trace"`)
			}
			return nil
		}),
	urlRule("trace.otlp", `a URL such as "http://10.0.0.9:4318"`, lo.ToPtr(""), "Base URL of a collector that receives traces by OTLP over HTTP.",
		func(f *settingsFile) string { return f.Trace.OTLP }, func(s *Settings) *string { return &s.OTLP }),
	numberRule("limits.body", "bytes", 4<<20, 1<<10, 256<<20, "Largest request body. Bodies are held in memory until they are dispatched.",
		func(f *settingsFile) int64 { return f.Limits.Body }, func(s *Settings) *int64 { return &s.Limits.Body }),
	numberRule("limits.queue", "requests", 4096, 1, 1_000_000, "Requests that wait at one shard. Further requests are refused, the lowest tier first.",
		func(f *settingsFile) int { return f.Limits.Queue }, func(s *Settings) *int { return &s.Limits.Queue }),
	newRule("limits.drain", `a duration such as "10m"`, lo.ToPtr("1h"), "Longest time that shutdown waits for running requests.",
		func(f *settingsFile) string { return f.Limits.Drain },
		func(s *Settings, v string) []settingViolation {
			d, err := time.ParseDuration(v)
			if err != nil || d <= 0 || d > maxDrain {
				return violation("limits.drain", fmt.Sprintf("%q is not a duration above 0s and up to %v", v, maxDrain), `use a duration such as "10m"`)
			}
			s.Limits.Drain = d
			return nil
		}),
	numberRule("limits.width", "endpoints", 64, 1, 4096, "Endpoints in a shard. A pool with more endpoints in a data centre is split into several shards. All instances need the same value.",
		func(f *settingsFile) int { return f.Limits.Width }, func(s *Settings) *int { return &s.Limits.Width }),
}

func setOperatorKeys(s *Settings, v map[string]string) (out []settingViolation) {
	const field = "keys.operator"
	if len(v) == 0 {
		return violation(field, "there is no operator key", `add a name and a hash such as {"aino": "<64 hexadecimal digits>"}`)
	}
	s.Keys.Operator = map[string]Hash{}
	names := lo.Keys(v)
	slices.Sort(names)
	for _, name := range names {
		if !namePattern.MatchString(name) {
			out = append(out, settingViolation{field, fmt.Sprintf("%q is not a valid operator name", name), "use " + nameFormat})
			continue
		}
		h, ok := parseHash(v[name])
		if !ok {
			out = append(out, settingViolation{field + "." + name, "the value is not a hash", "use " + hashFormat})
			continue
		}
		s.Keys.Operator[name] = h
	}
	return out
}

func setPeerKeys(s *Settings, v []string) (out []settingViolation) {
	for i, encoded := range v {
		h, ok := parseHash(encoded)
		if !ok {
			out = append(out, settingViolation{"keys.peer[" + strconv.Itoa(i) + "]", "the value is not a hash", "use " + hashFormat})
			continue
		}
		s.Keys.Peer = append(s.Keys.Peer, h)
	}
	return out
}

// AcceptsPeer reports whether a peer may present this key. It compares all keys, each in constant time.
func (k *Keys) AcceptsPeer(key string) bool {
	h, found := sha256.Sum256([]byte(key)), 0
	for _, p := range k.Peer {
		found |= subtle.ConstantTimeCompare(p[:], h[:])
	}
	return found == 1 || len(k.Peer) == 0
}

// LoadSettings reads and checks the settings file and the certificate files that it names.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.Errorf(core.CodeBadSettings, "cannot read the settings: %v", err)
	}
	return ParseSettings(path, data, os.Getenv(PeerKeyEnv))
}

// ParseSettings parses and checks the contents of a settings file. The name of the file is used only in errors. The error
// is a *core.Error with code 1401 that lists all violations. peerKey is the value of PeerKeyEnv.
func ParseSettings(file string, data []byte, peerKey string) (*Settings, error) {
	s, doc, err := checkSettings(file, data)
	if err != nil {
		return nil, err
	}
	if violations := s.TLS.checkFiles(); len(violations) > 0 {
		return nil, core.Errorf(core.CodeBadSettings, "%s", jsonc.ErrorList(lo.Map(violations, func(x settingViolation, _ int) jsonc.Error {
			return doc.ErrorAt(x.field, x.problem, x.remedy)
		})).Error())
	}
	if len(s.Keys.Peer) > 0 {
		if !s.Keys.AcceptsPeer(peerKey) {
			return nil, core.Errorf(core.CodeBadSettings, "%s: keys.peer: the key in the environment variable %s has none of these hashes; set it to one of the keys", file, PeerKeyEnv)
		}
		s.Keys.PeerKey = peerKey
	}
	return s, nil
}

// CheckSettings checks a settings file as ParseSettings does, but not the environment of this process or the files that
// the settings name, because these may exist only where the instance runs.
func CheckSettings(file string, data []byte) (*Settings, error) {
	s, _, err := checkSettings(file, data)
	return s, err
}

func checkSettings(file string, data []byte) (*Settings, *jsonc.Document, error) {
	f, doc, err := jsonc.Parse[settingsFile](file, data)
	if err != nil {
		return nil, nil, core.Errorf(core.CodeBadSettings, "%s", err)
	}
	s := &Settings{}
	var violations jsonc.ErrorList
	for _, r := range settingRules {
		for _, x := range r.apply(&f, s, doc.Has(r.field)) {
			violations = append(violations, doc.ErrorAt(x.field, x.problem, x.remedy))
		}
	}
	addresses := map[netip.AddrPort]string{}
	for _, l := range []struct {
		field string
		addr  netip.AddrPort
	}{{"listen.caller", s.Listen.Caller}, {"listen.operator", s.Listen.Operator}, {"listen.peer", s.Listen.Peer}} {
		if other, ok := addresses[l.addr]; ok && l.addr.Port() != 0 {
			violations = append(violations, doc.ErrorAt(l.field, fmt.Sprintf("%v is also the address of %s", l.addr, other), "use another port"))
		}
		addresses[l.addr] = l.field
	}
	for _, x := range tlsViolations(s) {
		violations = append(violations, doc.ErrorAt(x.field, x.problem, x.remedy))
	}
	if len(violations) > 0 {
		return nil, nil, core.Errorf(core.CodeBadSettings, "%s", violations.Error())
	}
	return s, doc, nil
}

// tlsViolations checks that the settings of each listener name all of its files or none.
func tlsViolations(s *Settings) (out []settingViolation) {
	for _, l := range s.TLS.listeners() {
		paths := map[string]string{"cert": l.files.Cert, "key": l.files.Key}
		if l.name == "peer" {
			paths["ca"] = l.files.CA
		}
		set := lo.PickBy(paths, func(_, path string) bool { return path != "" })
		if len(set) == 0 || len(set) == len(paths) {
			continue
		}
		missing, _ := lo.Difference(lo.Keys(paths), lo.Keys(set))
		slices.Sort(missing)
		out = append(out, settingViolation{"tls." + l.name, "missing: " + strings.Join(missing, ", "), "name all files of the listener or none"})
	}
	return out
}

type tlsListener struct {
	name  string
	files certs.Files
}

func (t *TLS) listeners() []tlsListener {
	return []tlsListener{{"caller", t.Caller}, {"operator", t.Operator}, {"peer", t.Peer}}
}

// checkFiles checks that the files of all listeners can be read and that certificates match their keys.
func (t *TLS) checkFiles() (out []settingViolation) {
	for _, l := range t.listeners() {
		_, err := certs.Load(l.files)
		var f *certs.FileError
		if errors.As(err, &f) {
			field := map[string]string{l.files.Cert: "cert", l.files.Key: "key", l.files.CA: "ca"}[f.Path]
			out = append(out, settingViolation{"tls." + l.name + "." + field, f.Error(), "correct the file or name another one"})
		}
	}
	return out
}

// WriteSettingsReference writes docs/settings.md.
func WriteSettingsReference(w io.Writer) {
	fmt.Fprint(w, `# Settings

`+"`monsoondale serve --settings FILE`"+` reads its settings from a file in JSON, in which comments and trailing commas are
permitted. All settings are checked before anything is opened. A violation is reported with its file, line, field and
correction (code 1401, exit code 2). `+"`monsoondale validate --settings FILE`"+` makes the same check without starting anything,
apart from the contents of the files that `+"`tls`"+` names.

This page is produced from the rules that check the file.

| setting | form | default | meaning |
|---|---|---|---|
`)
	for _, r := range settingRules {
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", r.field, r.format, lo.CoalesceOrEmpty(r.defaultValue, "required"), r.help)
	}
	fmt.Fprintf(w, `
Certificates are replaced without a restart: write the new files in place of the old ones. Each instance reads them every
2 s and when connections are made, and uses new ones for new connections once two readings, at least 1 s apart, have
found the same complete and matching files. Until then, and while they cannot be used, the old ones stay in force; the
log and `+"`tls_failures_total`"+` show why (see [OPERATIONS.md](OPERATIONS.md)).

The hash of a key is printed by `+"`printf %%s \"$KEY\" | sha256sum`"+`.

`+"```"+`
%s`+"```"+`
`, settingsExample)
}

// settingsExample is the example in docs/settings.md.
const settingsExample = `{
  "name": "entry-1",
  "region": "fi-south",
  "centre": "fi-south-a",
  "listen": {"caller": "10.0.0.5:7001", "operator": "10.0.0.5:7002", "peer": "10.0.0.5:7003"},
  "platform": {"objects": "http://10.0.0.2:7100", "instances": "http://10.0.0.2:7101"},
  "keys": {
    // sha256 of the key of each operator
    "operator": {"aino": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"},
  },
  "log": {"level": "info"},
  "limits": {"drain": "1h"},
}
`
