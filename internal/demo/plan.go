package demo

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"monsoondale/internal/fake/engine"
	"monsoondale/internal/fake/fleet"
	"monsoondale/internal/fake/objectapi"
	"monsoondale/internal/fake/service"
	wire "monsoondale/wire/engine"
)

// deployment is the system of one customer with its traffic.
type deployment struct {
	title      string
	fleet      fleet.Options
	template   string            // name of the template
	document   string            // the template itself
	workspaces map[string]string // parameters by name
	model      string            // a model that is listed once the configuration is in force
	traffic    func() []request
}

// request is one request of the demo's traffic. A wave is sent after all requests of the previous one have ended.
type request struct {
	kind      string
	pool      string
	wave      int
	instance  int // index of the instance, modulo the number of instances
	workspace string
	caller    string

	chat        *wire.Chat
	hangUpParts int // the caller hangs up after that many chunks of text, if positive

	method, path, order, body string
	hangUpAtRun               string // the caller hangs up once a service has logged this business key, if not empty
	duplicate                 bool   // sent to two instances at once: one of the answers may be "in progress"
}

// decodeRate is the number of tokens per second that an engine generates for a lone request.
const decodeRate = 300

func enginePool(pool string) fleet.EnginePool {
	return fleet.EnginePool{Pool: pool, Count: 6, Options: engine.Options{
		Model: pool, DecodeRate: decodeRate, HalvingLoad: 8, ReportLag: 300 * time.Millisecond, LoseEvery: 10,
	}}
}

func servicePool(pool string) fleet.ServicePool {
	return fleet.ServicePool{Pool: pool, Count: 3, Options: service.Options{Delay: 300 * time.Millisecond}}
}

// objectOptions has the latency and rates that docs/design.md states for the object API.
var objectOptions = objectapi.Options{Reads: 2000, Writes: 400, Latency: 3 * time.Millisecond}

var deployments = []deployment{
	{
		title: "Engraving Desk, fi-south",
		fleet: fleet.Options{
			Region: "fi-south", Objects: objectOptions, ListLag: 300 * time.Millisecond,
			Engines: []fleet.EnginePool{enginePool("drafting")}, Services: []fleet.ServicePool{servicePool("orderdesk")},
		},
		template: "desk",
		document: `{
  // Memorial texts, checks of names and dates, and engraving orders.
  "template": "desk",
  "params": [{"name": "weight", "type": "int", "default": 10, "min": 1, "max": 100}],
  "share": "${weight}",
  "kinds": [
    {"name": "check", "tier": 0, "pool": "drafting", "deadline": "20s", "tokens": 20},
    {"name": "draft", "tier": 1, "pool": "drafting", "deadline": "20s", "tokens": 100},
    {"name": "engrave", "tier": 0, "pool": "orderdesk", "service": "orders", "once": true, "method": "POST", "path": "/engrave", "deadline": "20s"},
    {"name": "status", "tier": 2, "pool": "orderdesk", "service": "orders", "method": "GET", "path": "/status/", "deadline": "20s"}
  ]
}`,
		workspaces: map[string]string{"helsinki": `{"weight": 20}`, "turku": `{}`},
		model:      "draft",
		traffic: func() []request {
			t := &traffic{workspaces: []string{"helsinki", "turku"}}
			t.chats(24, "draft", "drafting", "Write a dedication for plate", 60, 120)
			t.chats(12, "check", "drafting", "Check the names and dates of plate", 20, 20)
			t.calls(6, "status", "orderdesk", http.MethodGet, "/services/orders/status/none-%d", "", "")
			t.orders(9, "engrave", "orderdesk", "/services/orders/engrave", "order", "plate")
			t.hungUp("draft", "drafting", "Write a long memorial text")
			return t.requests
		},
	},
	{
		title: "Cwm Edau Embroidery Ltd, cymru-south",
		fleet: fleet.Options{
			Region: "cymru-south", Objects: objectOptions, ListLag: 300 * time.Millisecond,
			Engines: []fleet.EnginePool{enginePool("assistant")}, Services: []fleet.ServicePool{servicePool("orderapp")},
		},
		template: "club",
		document: `{
  // Quick questions, long crest proof reviews, badge orders, payments and stock checks.
  "template": "club",
  "params": [{"name": "weight", "type": "int", "default": 10, "min": 1, "max": 100}],
  "share": "${weight}",
  "kinds": [
    {"name": "question", "tier": 1, "pool": "assistant", "deadline": "20s", "tokens": 40},
    {"name": "review", "tier": 3, "pool": "assistant", "tokens": 500},
    {"name": "badge", "tier": 0, "pool": "orderapp", "service": "shop", "once": true, "method": "POST", "path": "/badges", "deadline": "20s"},
    {"name": "payment", "tier": 0, "pool": "orderapp", "service": "shop", "once": true, "method": "POST", "path": "/pay", "deadline": "20s"},
    {"name": "stock", "tier": 2, "pool": "orderapp", "service": "shop", "method": "GET", "path": "/stock/", "deadline": "20s"}
  ]
}`,
		workspaces: map[string]string{"cwm-edau": `{"weight": 20}`, "llan-rugby": `{}`},
		model:      "review",
		traffic: func() []request {
			t := &traffic{workspaces: []string{"cwm-edau", "llan-rugby"}}
			t.chats(24, "question", "assistant", "Which thread suits badge", 30, 50)
			proof := strings.Repeat("The crest shows a red kite over two crossed oars on a field of green. ", 100)
			t.chats(6, "review", "assistant", proof+"Review proof", 500, 500)
			t.calls(6, "stock", "orderapp", http.MethodGet, "/services/shop/stock/thread-%d", "", "")
			t.orders(6, "badge", "orderapp", "/services/shop/badges", "order", "badge")
			t.orders(3, "payment", "orderapp", "/services/shop/pay", "payment", "invoice")
			t.hungUp("review", "assistant", proof+"Review the whole club")
			return t.requests
		},
	},
}

// traffic builds a list of requests, spread over instances, workspaces and callers.
type traffic struct {
	workspaces []string
	requests   []request
}

func (t *traffic) add(r request) {
	n := len(t.requests)
	r.instance += n
	if r.workspace == "" {
		r.workspace = t.workspaces[n%len(t.workspaces)]
	}
	if r.caller == "" {
		r.caller = fmt.Sprintf("caller-%d", n%5)
	}
	t.requests = append(t.requests, r)
}

// chats adds n chat requests, half of them streamed, whose answers have between from and to tokens.
func (t *traffic) chats(n int, kind, pool, prompt string, from, to int) {
	for i := range n {
		t.add(request{kind: kind, pool: pool, chat: &wire.Chat{
			Model: kind, Stream: i%2 == 0, MaxTokens: from + (to-from)*i/n,
			Messages: []wire.Message{{Role: "user", Content: fmt.Sprintf("%s %d.", prompt, i)}},
		}})
	}
}

// calls adds n idempotent requests to a plain service.
func (t *traffic) calls(n int, kind, pool, method, path, order, body string) {
	for i := range n {
		t.add(request{kind: kind, pool: pool, method: method, path: fmt.Sprintf(path, i), order: order, body: body})
	}
}

// orders adds n orders, every third of which is repeated later at another instance; one order that is sent to two
// instances at once; and one whose caller hangs up. The latter two are repeated as well.
func (t *traffic) orders(n int, kind, pool, path, field, idPrefix string) {
	for i := range n + 2 {
		id := fmt.Sprintf("%s-%d", idPrefix, i)
		r := request{
			kind: kind, pool: pool, method: http.MethodPost, path: path, order: "key-" + id,
			body:      fmt.Sprintf(`{%q: %q, "text": "In memory"}`, field, id),
			workspace: t.workspaces[i%len(t.workspaces)], caller: "family-" + id,
		}
		first := len(t.requests)
		switch {
		case i == n:
			r.duplicate = true
			t.add(r)
			t.add(r)
			r.duplicate = false
		case i == n+1:
			r.wave, r.hangUpAtRun = 1, field+" "+id
			t.add(r)
			r.hangUpAtRun = ""
		default:
			t.add(r)
		}
		if i%3 == 0 || i >= n {
			r.wave, r.instance = 2, 1+first-len(t.requests) // the instance after that of the first request
			t.add(r)
		}
	}
}

// hungUp adds a streamed chat request whose caller closes the connection in the middle of the answer. Only that ends it: its
// engine works for longer than settleTimeout.
func (t *traffic) hungUp(kind, pool, prompt string) {
	t.add(request{kind: kind, pool: pool, hangUpParts: 10, chat: &wire.Chat{
		Model: kind, Stream: true, MaxTokens: int(2 * settleTimeout.Seconds() * decodeRate), Messages: []wire.Message{{Role: "user", Content: prompt}},
	}})
}
