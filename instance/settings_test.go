package instance

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/common/certs/certstest"
	"monsoondale/core"
)

var update = flag.Bool("update", false, "rewrite generated documents")

func TestSettingsExampleIsValid(t *testing.T) {
	g := NewWithT(t)
	s, err := ParseSettings("s.json", []byte(settingsExample), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Name).To(Equal(core.InstanceID("entry-1")))
	g.Expect(s.Listen.Peer.String()).To(Equal("10.0.0.5:7003"))
	g.Expect(s.Limits).To(Equal(Limits{Body: 4 << 20, Queue: 4096, Drain: time.Hour, Width: 64}))
	g.Expect(s.Log.Verbosity()).To(Equal(0))
	g.Expect(s.Keys.AcceptsPeer("any")).To(BeTrue())
}

// Guards against errors that do not name the file, the line, the field and the correction.
func TestSettingsRefusals(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"name", `"entry-1"`, `"Entry 1"`, `s.json:2: name: "Entry 1" is not a valid name; use 1 to 63 lower-case letters, digits and hyphens`},
		{"missing", `"region": "fi-south",`, ``, `s.json:1: region: the setting is missing; add 1 to 63`},
		{"host name", `"10.0.0.5:7001"`, `"localhost:7001"`, `s.json:5: listen.caller: "localhost:7001" is not an address; use an IP address and port`},
		{"same address", `"10.0.0.5:7002"`, `"10.0.0.5:7001"`, `listen.operator: 10.0.0.5:7001 is also the address of listen.caller; use another port`},
		{"URL", `"http://10.0.0.2:7100"`, `"10.0.0.2:7100"`, `s.json:6: platform.objects: "10.0.0.2:7100" is not a base URL; use a URL such as`},
		{"operator key in clear", `2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae`, `secret`, `s.json:9: keys.operator.aino: the value is not a hash; use the 64`},
		{"no operator", `"operator": {"aino": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}`, `"operator": {}`, `keys.operator: there is no operator key`},
		{"peer key", `"operator": {`, `"peer": ["x"], "operator": {`, `s.json:9: keys.peer[0]: the value is not a hash`},
		{"peer key not set", `"operator": {`, `"peer": ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"], "operator": {`, `MONSOONDALE_PEER_KEY has none of these hashes`},
		{"level", `"level": "info"`, `"level": "warn"`, `s.json:11: log.level: "warn" is not a log level; use "error", "info", "debug" or "trace"`},
		{"drain", `"drain": "1h"`, `"drain": "0s"`, `s.json:12: limits.drain: "0s" is not a duration above 0s`},
		{"zero", `"drain": "1h"`, `"width": 0`, `s.json:12: limits.width: 0 is out of range; use a whole number of 1 to 4096 endpoints`},
		{"type", `"drain": "1h"`, `"drain": 60`, `s.json:12: limits.drain: found a number; use a string in double quotes`},
		{"TLS path", `"log"`, `"tls": {"caller": {"cert": "cert.pem"}}, "log"`, `s.json:11: tls.caller.cert: "cert.pem" is not an absolute path; use an absolute path such as`},
		{"TLS key missing", `"log"`, `"tls": {"caller": {"cert": "/none/cert.pem"}}, "log"`, `s.json:11: tls.caller: missing: key; name all files of the listener or none`},
		{"TLS authorities missing", `"log"`, `"tls": {"peer": {"cert": "/none/c.pem", "key": "/none/k.pem"}}, "log"`, `tls.peer: missing: ca;`},
		{"TLS file", `"log"`, `"tls": {"operator": {"cert": "/none/c.pem", "key": "/none/k.pem"}}, "log"`, `s.json:11: tls.operator.cert: /none/c.pem: cannot be read: no such file or directory`},
		{"unknown", `"drain": "1h"`, `"drian": "1h"`, `s.json:12: limits.drian: unknown field; remove it or use one of body, drain, queue, width`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			text := strings.Replace(settingsExample, c.old, c.new, 1)
			g.Expect(text).NotTo(Equal(settingsExample))
			_, err := ParseSettings("s.json", []byte(text), "wrong")
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(err.(*core.Error).Code).To(Equal(core.CodeBadSettings))
			g.Expect(err.Error()).NotTo(ContainSubstring("secret"), "the error must not contain a key")
		})
	}
}

// Guards against settings that are accepted although a certificate does not match its key.
func TestSettingsCheckCertificates(t *testing.T) {
	g := NewWithT(t)
	authority := certstest.NewAuthority(t)
	f, other := authority.Issue(t.TempDir(), "one"), authority.Issue(t.TempDir(), "other")
	parse := func(key string) error {
		tls := fmt.Sprintf(`"tls": {"peer": {"cert": %q, "key": %q, "ca": %q}}, "log"`, f.Cert, key, f.CA)
		_, err := ParseSettings("s.json", []byte(strings.Replace(settingsExample, `"log"`, tls, 1)), "")
		return err
	}
	g.Expect(parse(f.Key)).To(Succeed())
	g.Expect(parse(other.Key)).To(MatchError(ContainSubstring("s.json:11: tls.peer.cert: " + f.Cert + ": does not form a pair with " + other.Key)))
}

func TestPeerKey(t *testing.T) {
	g := NewWithT(t)
	// The hash is that of "foo".
	text := strings.Replace(settingsExample, `"operator": {`, `"peer": ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"], "operator": {`, 1)
	s, err := ParseSettings("s.json", []byte(text), "foo")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Keys.PeerKey).To(Equal("foo"))
	g.Expect(s.Keys.AcceptsPeer("foo")).To(BeTrue())
	g.Expect(s.Keys.AcceptsPeer("bar")).To(BeFalse())
}

// Guards against a setting that is parsed but neither checked nor documented.
func TestEverySettingHasARule(t *testing.T) {
	g := NewWithT(t)
	var fields []string
	var walk func(t reflect.Type, path string)
	walk = func(t reflect.Type, path string) {
		for _, f := range reflect.VisibleFields(t) {
			name := strings.TrimPrefix(path+"."+f.Tag.Get("json"), ".")
			if f.Type.Kind() == reflect.Struct {
				walk(f.Type, name)
			} else {
				fields = append(fields, name)
			}
		}
	}
	walk(reflect.TypeFor[settingsFile](), "")
	var fieldsWithRule []string
	for _, r := range settingRules {
		fieldsWithRule = append(fieldsWithRule, r.field)
	}
	g.Expect(fieldsWithRule).To(ConsistOf(fields))
}

// Guards against a docs/settings.md that differs from the rules. Run with -update to regenerate it.
func TestSettingsReference(t *testing.T) {
	g := NewWithT(t)
	var generated bytes.Buffer
	WriteSettingsReference(&generated)
	if *update {
		g.Expect(os.WriteFile("../docs/settings.md", generated.Bytes(), 0o644)).To(Succeed())
	}
	stored, err := os.ReadFile("../docs/settings.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(stored)).To(Equal(generated.String()))
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(settingsExample))
	f.Add([]byte(`{"limits": {"drain": ""}, "keys": {"operator": {"": ""}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings("s.json", data, "")
		if err != nil {
			if e, ok := err.(*core.Error); !ok || e.Code != core.CodeBadSettings {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		if !s.Listen.Caller.IsValid() || len(s.Keys.Operator) == 0 || s.Limits.Width < 1 {
			t.Fatalf("invalid settings accepted: %+v", s)
		}
	})
}
