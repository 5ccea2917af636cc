package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dunlinmill/dunlinmill/standin/logservice"
	"github.com/dunlinmill/dunlinmill/standin/service"
)

// calling is a site for not-repeatable calls.
var calling = layout{
	engines:     []string{oldPool + " dc-1", newPool + " dc-2"},
	engineFlags: standard.engineFlags,
	nodes:       3,
}

// What a caller was told last about its key. Besides these it is the value
// of Ran in a typed error.
const (
	answered = "answered"
	nothing  = "nothing" // the connection broke, or the caller lost patience
)

// keyed is one not-repeatable call, over all its tries.
type keyed struct {
	key  string
	last string
	code string // of the last typed error
}

// Bounds of a keyed call.
const (
	patience    = 400 * time.Millisecond // of a caller with one node
	maxKeyTries = 8
	keyPause    = 50 * time.Millisecond // after a typed error
)

// callers send not-repeatable calls, one key after the other, until they are
// stopped. Half of them take a first "NotRun" for the end, so that it has to
// stay true; the others try again, which must not run the call twice.
type callers struct {
	t    *testing.T
	site *site
	http *http.Client
	done atomic.Int64
	stop atomic.Bool
	wait sync.WaitGroup

	mu    sync.Mutex
	calls []keyed
}

func (s *site) call(t *testing.T, n int) *callers {
	c := &callers{t: t, site: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}}
	for i := range n {
		c.wait.Go(func() {
			for k := 0; !c.stop.Load(); k++ {
				c.run(i+k, i%2 == 0)
			}
		})
	}
	t.Cleanup(func() { c.stopAll() })
	return c
}

func (c *callers) stopAll() []keyed {
	c.stop.Store(true)
	c.wait.Wait()
	c.http.CloseIdleConnections()
	return c.calls
}

func (c *callers) awaitDone(n int64) {
	c.t.Helper()
	await(c.t, "calls", func() error {
		if done := c.done.Load(); done < n {
			return fmt.Errorf("%d of %d calls have ended", done, n)
		}
		return nil
	})
}

// more waits until so many more calls have ended.
func (c *callers) more(n int64) {
	c.t.Helper()
	c.awaitDone(c.done.Load() + n)
}

// run sends one key to node after node, as a caller does that wants to know.
func (c *callers) run(first int, endAtNotRun bool) {
	id, err := uuid.NewV7()
	if err != nil {
		c.t.Error(err)
		return
	}
	k := keyed{key: id.String()}
	for n := range maxKeyTries {
		k.last, k.code = c.try((first+n)%len(c.site.nodes), k.key)
		if k.last == answered || k.last == "Ran" || (k.last == "NotRun" && endAtNotRun) {
			break
		}
		if k.last != nothing {
			time.Sleep(keyPause)
		}
	}
	c.mu.Lock()
	c.calls = append(c.calls, k)
	c.mu.Unlock()
	c.done.Add(1)
}

// try sends the key to one node, and gives what the caller is told.
func (c *callers) try(node int, key string) (told, code string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	url := "http://" + c.site.nodes[node].callers + servicePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(key)))
	if err != nil {
		c.t.Error(err)
		return nothing, ""
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(alpha))
	req.Header.Set("Idempotency-Key", `"`+key+`"`)
	resp, err := c.http.Do(req)
	if err != nil {
		return nothing, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nothing, ""
	}
	return c.read(key, resp.StatusCode, body)
}

func (c *callers) read(key string, status int, body []byte) (told, code string) {
	if status == http.StatusOK {
		var r service.Reply
		if err := json.Unmarshal(body, &r); err != nil || r.Key != key || r.Body != key || r.Path != "/inspections" {
			c.t.Errorf("key %s was answered %.200q", key, body)
		}
		return answered, ""
	}
	var e struct {
		Error struct{ Code, Message, Ran string }
	}
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Code == "" || e.Error.Message == "" {
		c.t.Errorf("status %d without a typed error: %.200q", status, body)
		return nothing, ""
	}
	switch e.Error.Ran {
	case "NotRun", "Ran", "Unknown":
		return e.Error.Ran, e.Error.Code
	}
	c.t.Errorf("Ran is %q", e.Error.Ran)
	return nothing, ""
}

// check compares what the callers were told with what arrived, once nothing
// is on its way any more.
func (c *callers) check() {
	c.t.Helper()
	calls := c.stopAll()
	for i := range c.site.nodes {
		await(c.t, nodeName(i)+" idle", func() error {
			st, err := c.site.status(i)
			if err == nil && st.InFlight+st.Queued > 0 {
				err = fmt.Errorf("%d in flight, %d queued", st.InFlight, st.Queued)
			}
			return err
		})
	}
	arrivals := c.site.serviceCounters().Arrivals
	sums := map[string]int{}
	for _, k := range calls {
		n := arrivals[k.key]
		sums[k.last+" "+k.code]++
		switch {
		case n > 1:
			c.t.Errorf("key %s arrived %d times; the caller was told %s last", k.key, n, k.last)
		case k.last == "NotRun" && n != 0:
			c.t.Errorf("key %s: the caller was told NotRun (%s), but it arrived", k.key, k.code)
		case (k.last == answered || k.last == "Ran") && n != 1:
			c.t.Errorf("key %s: the caller was told %s, but it arrived %d times", k.key, k.last, n)
		}
	}
	c.t.Logf("%d keys, told last: %v", len(calls), sums)
}

// trouble is what happens while the callers send their calls.
type trouble struct {
	name string
	play func(s *site, c *callers)
}

var troubles = []trouble{
	{"killed nodes", func(s *site, c *callers) {
		for i := range 2 {
			s.nodes[i].kill()
			c.more(100)
			s.nodes[i].start()
			s.awaitReady(s.nodes[i])
			c.more(50)
		}
	}},
	{"frozen node", func(s *site, c *callers) {
		for range 2 {
			s.nodes[1].signal(syscall.SIGSTOP)
			c.more(150)
			s.nodes[1].signal(syscall.SIGCONT)
			c.more(50)
		}
	}},
	{"lost answers and appends of the log", func(s *site, c *callers) {
		post(c.t, s.log.address, "/fault", logservice.Fault{LoseAnswers: 20})
		c.more(50)
		post(c.t, s.log.address, "/fault", logservice.Fault{LoseAppends: 10, LateMillis: 100})
		c.more(50)
		post(c.t, s.log.address, "/fault", logservice.Fault{})
	}},
	{"outage of the log", func(s *site, c *callers) {
		for _, f := range []logservice.Fault{{Outage: true}, {Frozen: true}} {
			post(c.t, s.log.address, "/fault", f)
			c.more(40)
			post(c.t, s.log.address, "/fault", logservice.Fault{})
			c.more(60)
		}
	}},
	{"service that runs the call and hangs", func(s *site, c *callers) {
		post(c.t, s.service.address, "/fault", service.Fault{Hang: true, Times: 20})
		c.more(60)
		post(c.t, s.service.address, "/fault", service.Fault{Truncate: true, Times: 20})
		c.more(60)
	}},
	{"killed node while the log loses answers", func(s *site, c *callers) {
		post(c.t, s.log.address, "/fault", logservice.Fault{LoseAnswers: 20})
		s.nodes[0].kill()
		c.more(60)
		post(c.t, s.log.address, "/fault", logservice.Fault{Outage: true})
		s.nodes[0].start()
		c.more(30)
		post(c.t, s.log.address, "/fault", logservice.Fault{})
		s.awaitReady(s.nodes[0])
	}},
	{"frozen node and an outage of the log", func(s *site, c *callers) {
		s.nodes[2].signal(syscall.SIGSTOP)
		c.more(40)
		post(c.t, s.log.address, "/fault", logservice.Fault{Outage: true})
		c.more(20)
		s.nodes[2].signal(syscall.SIGCONT)
		c.more(20)
		post(c.t, s.log.address, "/fault", logservice.Fault{})
	}},
}

// A caller finds its inspection recorded twice, or is told that it did not
// run although it did. It sent the call to one node, which claimed the key
// and then died, froze, or lost the log's answer; the caller tried the same
// key elsewhere at once, while the first node's send was still to come. The
// claim in the log decides which node sends, and only what the log says for
// certain is told as NotRun.
func TestNotRepeatableCallsArriveOnce(t *testing.T) {
	t.Parallel()
	for _, tr := range troubles {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, calling)
			post(t, s.service.address, "/fault", service.Fault{LateMillis: 20})
			c := s.call(t, 24)
			c.more(50)
			tr.play(s, c)
			c.more(50)
			c.check()
		})
	}
}
