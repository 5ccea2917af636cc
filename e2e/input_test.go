package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// smallLayout is a site for tests that need no load.
var smallLayout = layout{
	engines:     []string{oldPool + " dc-1", newPool + " dc-1"},
	engineFlags: standardLayout.engineFlags,
	nodes:       1,
	settings:    "Limits: {MaxBodyBytes: 65536, MaxHeaderBytes: 8192, HeaderTimeout: 1s}\n",
}

// badCall is a call that the node has to refuse.
type badCall struct {
	name        string
	method      string
	path        string
	body        string
	header      []string // alternating names and values
	key         string   // of the workspace; empty: alpha's; "-": none
	status      int
	code        string
	messagePart string // part of the expected message
}

const (
	chatPath    = "/v1/chat/completions"
	validChat   = `{"model":"base","messages":[{"role":"user","content":"hello"}],"max_tokens":3}`
	servicePath = "/services/records/inspections"
)

var badCalls = []badCall{
	{name: "malformed JSON", path: chatPath, body: `{"model":`, status: 400, code: "MalformedRequest", messagePart: "JSON"},
	{name: "JSON of the wrong type", path: chatPath, body: `{"model":5}`, status: 400, code: "MalformedRequest", messagePart: "model"},
	{name: "no model", path: chatPath, body: `{"messages":[]}`, status: 400, code: "MalformedRequest", messagePart: "model: is missing"},
	{name: "no messages", path: chatPath, body: `{"model":"base","messages":[]}`, status: 400, code: "MalformedRequest", messagePart: "messages: from 1 to"},
	{name: "negative length", path: chatPath, body: strings.Replace(validChat, ":3}", ":-3}", 1), status: 400, code: "MalformedRequest", messagePart: "max_tokens"},
	{name: "several answers", path: chatPath, body: `{"model":"base","n":2}`, status: 400, code: "MalformedRequest", messagePart: "n: only 1"},
	{name: "unknown model", path: chatPath, body: strings.Replace(validChat, "base", "nothing", 1), status: 404, code: "UnknownModel", messagePart: `"nothing"`},
	{name: "wrong key", path: chatPath, body: validChat, key: "no-such-key", status: 401, code: "Unauthenticated", messagePart: "key is missing or not known"},
	{name: "missing key", path: chatPath, body: validChat, key: "-", status: 401, code: "Unauthenticated", messagePart: "key is missing or not known"},
	{name: "oversized body", path: chatPath, body: strings.Repeat("x", 70_000), status: 413, code: "BodyTooLarge", messagePart: "body is larger"},
	{name: "far oversized body", path: chatPath, body: strings.Repeat("x", 12<<20), status: 413, code: "BodyTooLarge", messagePart: "body is larger"},
	{name: "oversized header", path: chatPath, body: validChat, header: []string{"X-Long", strings.Repeat("x", 9000)}, status: 431, code: "HeaderTooLarge", messagePart: "headers are larger"},
	{name: "bad priority", path: chatPath, body: validChat, header: []string{"Priority", "u=9"}, status: 400, code: "MalformedRequest", messagePart: "Priority: u has to be from 0 to 7"},
	{name: "bad timeout", path: chatPath, body: validChat, header: []string{"Request-Timeout", "soon"}, status: 400, code: "MalformedRequest", messagePart: "Request-Timeout: has to be a positive"},
	{name: "timeout of zero", path: chatPath, body: validChat, header: []string{"Request-Timeout", "0"}, status: 400, code: "MalformedRequest", messagePart: "Request-Timeout"},
	{name: "bad repeatable mark", path: servicePath, header: []string{"Dunlinmill-Repeatable", "no"}, status: 400, code: "MalformedRequest", messagePart: "has to be ?0 or ?1"},
	{name: "not repeatable without a key", path: servicePath, header: []string{"Dunlinmill-Repeatable", "?0"}, status: 400, code: "KeyRequired", messagePart: "needs an Idempotency-Key"},
	{name: "key that tells no time", path: servicePath, header: []string{"Idempotency-Key", `"inspection-7"`}, status: 400, code: "KeyInvalid"},
	{name: "bad time of a key", path: servicePath, header: []string{"Idempotency-Key", `"inspection-7"`, "Dunlinmill-Key-Time", "today"}, status: 400, code: "KeyInvalid", messagePart: "RFC 3339"},
	{name: "unknown service", path: "/services/nothing/x", status: 404, code: "UnknownService", messagePart: `"nothing"`},
	{name: "unknown path", path: "/v2/chat", status: 404, code: "NotFound", messagePart: "no such path"},
	{name: "wrong method", method: http.MethodGet, path: chatPath, status: 404, code: "NotFound", messagePart: "no such path"},
}

// Checks that each kind of bad input gets its own error, that the error says that
// nothing ran, and that none of it reaches an upstream.
func TestBadCallsGetSpecificErrors(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallLayout)
	for _, tt := range badCalls {
		resp, body := s.sendBadCall(t, tt)
		var e struct {
			Error struct{ Code, Message, Ran string }
		}
		if err := json.Unmarshal(body, &e); err != nil {
			t.Errorf("%s: %d %.200q: %v", tt.name, resp.StatusCode, body, err)
			continue
		}
		got := e.Error
		if resp.StatusCode != tt.status || got.Code != tt.code || got.Ran != "NotRun" || got.Message == "" || !strings.Contains(got.Message, tt.messagePart) {
			t.Errorf("%s: %d %+v; want %d %s with %q", tt.name, resp.StatusCode, got, tt.status, tt.code, tt.messagePart)
		}
		if ran := resp.Header.Get("Dunlinmill-Ran"); ran != "NotRun" {
			t.Errorf("%s: Dunlinmill-Ran is %q", tt.name, ran)
		}
	}
	for i := range s.engines {
		if n := len(s.engineCounters(i).Arrivals); n > 0 {
			t.Errorf("%d requests arrived at %s", n, engineName(i))
		}
	}
	if n := s.serviceCounters().Total; n > 0 {
		t.Errorf("%d calls arrived at the service", n)
	}
}

func (s *site) sendBadCall(t *testing.T, b badCall) (*http.Response, []byte) {
	t.Helper()
	method := b.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+s.nodes[0].callers+b.path, bytes.NewReader([]byte(b.body)))
	if err != nil {
		t.Fatal(err)
	}
	switch b.key {
	case "":
		req.Header.Set("Authorization", "Bearer "+keyOf(alpha))
	case "-":
	default:
		req.Header.Set("Authorization", "Bearer "+b.key)
	}
	for i := 0; i+1 < len(b.header); i += 2 {
		req.Header.Set(b.header[i], b.header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s: %v", b.name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%s: %v", b.name, err)
	}
	return resp, body
}

// Guards against a valid request that is answered with 400. HTTP libraries open
// connections in advance; the node sends an error on one that has been silent for the
// header timeout, and the library takes it for the answer to the request that it is
// just writing.
func TestSilentConnectionEndsWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallLayout)
	conn, err := net.Dial("tcp", s.nodes[0].callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if data, err := io.ReadAll(conn); len(data) > 0 || err != nil {
		t.Errorf("got %q, %v", data, err)
	}
}

// Guards against a call that a plain service reads otherwise than the node, as the name of a field is malformed.
func TestCallsWithMalformedFieldsAreRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallLayout)
	for _, field := range []string{"X Foo: bar", "X-Foo : bar", "X\x01Foo: bar", "X(Foo: bar", "Transfer- Encoding: chunked", "Transfer-Encoding: gzip, chunked"} {
		conn, err := net.Dial("tcp", s.nodes[0].callers)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", servicePath, keyOf(alpha), field)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // a connection that is served on stays open
		answer, err := io.ReadAll(conn)
		if !bytes.HasPrefix(answer, []byte("HTTP/1.1 400 ")) {
			t.Errorf("%q: %q, %v", field, answer, err)
		}
		_ = conn.Close()
	}
	if n := s.serviceCounters().Total; n > 0 {
		t.Errorf("%d calls arrived at the service", n)
	}
}

// badCommand is a command line that has to fail.
type badCommand struct {
	name string
	args []string
	code int
	want []string // parts of standard error
}

const settingsWithThreeFaults = `Node: entry-1
DataCentre: Sofia
Listen: {Callers: {Address: here}, Operators: {Address: "127.0.0.1:0"}, Peers: {Address: "127.0.0.1:0"}}
More: 1
`

// Checks that each wrong command line names what is wrong with it and changes
// nothing.
func TestBadCommandLinesGetSpecificErrors(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallLayout)
	s.writeFile("wrong", "no-such-token")
	s.writeFile("settings.yaml", settingsWithThreeFaults)
	s.writeFile("misspelt.yaml", "ShiftWorkspase: {Workspace: alpha, To: new}\n")
	s.writeFile("broken.yaml", "ShiftWorkspace: [\n")
	file := func(name string) string { return s.dir + "/" + name }
	server := "http://" + s.nodes[0].operators
	node := func(verb, token string, more ...string) []string {
		return append([]string{verb, "--server", server, "--token-file", file(token)}, more...)
	}
	tests := []badCommand{
		{"nothing", nil, 2, []string{"no command given"}},
		{"unknown subcommand", []string{"serv"}, 2, []string{`unknown command "serv"`}},
		{"unknown flag", []string{"serve", "--setings", "x"}, 2, []string{"-setings"}},
		{"serve without settings", []string{"serve"}, 2, []string{"--settings is missing"}},
		{"settings with three faults", []string{"serve", "--settings", file("settings.yaml")}, 1, []string{":2: DataCentre:", ":3: Listen.Callers.Address:", ":4: More: unknown key"}},
		{"the same, checked", []string{"check", file("settings.yaml")}, 1, []string{":2: DataCentre:", ":3: Listen.Callers.Address:", ":4: More: unknown key"}},
		{"no such settings", []string{"serve", "--settings", file("none.yaml")}, 1, []string{"none.yaml: no such file"}},
		{"no token", []string{"status", "--server", server}, 2, []string{"--token-file is missing"}},
		{"wrong token", node("status", "wrong"), 1, []string{"Unauthenticated", "token is missing or not known"}},
		{"wrong token for an intent", node("intent", "wrong", "--shift-workspace", alpha, "--to", newPool), 1, []string{"Unauthenticated"}},
		{"bootstrap token once operators are there", node("status", "bootstrap"), 1, []string{"Unauthenticated"}},
		{"unknown plan", node("plan", "anna", "no-such-plan"), 1, []string{"UnknownPlan", "no-such-plan"}},
		{"confirmation of an unknown plan", node("confirm", "anna", "no-such-plan", "1"), 1, []string{"UnknownPlan", "no-such-plan"}},
		{"confirmation without a base", node("confirm", "anna", "p1"), 2, []string{"a plan's ID and its BASE"}},
		{"base that is no number", node("confirm", "anna", "p1", "x"), 2, []string{`BASE: "x" is not an offset`}},
		{"no intent", node("intent", "anna"), 2, []string{"state one intent"}},
		{"two intents", node("intent", "anna", "--pause", "p1", "--abort", "p1"), 2, []string{"state one intent"}},
		{"half an intent", node("intent", "anna", "--shift-workspace", alpha), 2, []string{"--shift-workspace and --to belong together"}},
		{"misspelt intent", node("intent", "anna", "--file", file("misspelt.yaml")), 1, []string{":1: ShiftWorkspase: unknown key"}},
		{"broken intent", node("intent", "anna", "--file", file("broken.yaml")), 1, []string{"broken.yaml"}},
		{"unknown workspace", node("intent", "anna", "--shift-workspace", "nobody", "--to", newPool), 1, []string{"MalformedIntent", `"nobody"`}},
		{"unknown pool", node("intent", "anna", "--shift-workspace", alpha, "--to", "nowhere"), 1, []string{"MalformedIntent", `"nowhere"`}},
		{"unknown upstream", node("intent", "anna", "--retire-upstream", "engine-9"), 1, []string{"MalformedIntent", `"engine-9"`}},
		{"unreachable node", []string{"status", "--server", "http://127.0.0.1:1", "--token-file", file("anna")}, 1, []string{"127.0.0.1:1", "refused"}},
	}
	before := runCommand(t, "", node("plan", "anna")...)
	for _, tt := range tests {
		r := runCommand(t, "", tt.args...)
		if r.code != tt.code || r.out != "" {
			t.Errorf("%s: exit code %d, output %q, %s", tt.name, r.code, r.out, r.err)
		}
		for _, want := range tt.want {
			if !strings.Contains(r.err, want) {
				t.Errorf("%s: %q is not in %q", tt.name, want, r.err)
			}
		}
	}
	// The plan of the bootstrap is still the only one.
	after := runCommand(t, "", node("plan", "anna")...)
	if before.code != 0 || after != before || strings.Count(after.out, "\n") != 1 {
		t.Errorf("plans were %+v and are %+v", before, after)
	}
}

// badOperatorCalls are bad calls that the command line would not send.
var badOperatorCalls = []badCall{
	{name: "malformed intent", path: "/intents", body: `{"ShiftWorkspace":`, status: 400, code: "MalformedIntent"},
	{name: "intent with an unknown name", path: "/intents", body: `{"Shift":{}}`, status: 400, code: "MalformedIntent", messagePart: "Shift"},
	{name: "empty intent", path: "/intents", body: `{}`, status: 400, code: "MalformedIntent"},
	{name: "malformed confirmation", path: "/plans/p1/confirm", body: `{"Base":"x"}`, status: 400, code: "MalformedRequest"},
	{name: "unknown plan", path: "/plans/p1/confirm", body: `{"Base":1}`, status: 404, code: "UnknownPlan", messagePart: "p1"},
	{name: "unknown path", path: "/nothing", status: 404, code: "NotFound"},
	{name: "wrong token", path: "/intents", body: `{}`, key: "no-such-token", status: 401, code: "Unauthenticated"},
	{name: "caller's key", path: "/intents", body: `{}`, key: keyOf(alpha), status: 401, code: "Unauthenticated"},
	{name: "oversized body", path: "/intents", body: strings.Repeat("x", 5<<20), status: 413, code: "BodyTooLarge"},
}

func TestBadCallsOfOperatorsAreRefused(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallLayout)
	for _, tt := range badOperatorCalls {
		token := tt.key
		if token == "" {
			token = tokenOf("anna")
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+s.nodes[0].operators+tt.path, strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		var e struct{ Code, Ran, Message string }
		err = json.NewDecoder(resp.Body).Decode(&e)
		_ = resp.Body.Close()
		if got := fmt.Sprint(resp.StatusCode, " ", e.Code, " ", e.Ran); err != nil || got != fmt.Sprint(tt.status, " ", tt.code, " NotRun") || !strings.Contains(e.Message, tt.messagePart) {
			t.Errorf("%s: %s %q, %v; want %d %s", tt.name, got, e.Message, err, tt.status, tt.code)
		}
	}
}
