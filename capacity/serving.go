package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	platformhttp "github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	upstreamhttp "github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/node"
	"github.com/dunlinmill/dunlinmill/process/settings"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/logservice"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyring"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Names of the slopes of serving requests.
const (
	tokenMicros  = "serving, processor time of tokens"
	streamHeap   = "serving, bytes of open streams"
	answerMicros = "serving, processor time of short answers"
	logBytes     = "logs, bytes of the lines of requests"
	logLines     = "logs, lines of requests"
)

// What is served: streams side by side, one token at a time.
const (
	servedStreams = 64
	servedRounds  = 4 // one after the other
	// servedEngines are names of the one stand-in, since a node sends few
	// requests at a time to an engine that it doesn't know yet.
	servedEngines = 128
	servedDecode  = 5 * time.Millisecond
	slowDecode    = 200 * time.Millisecond
	openAtOnce    = 32 // a node lets no more in at once right after its start
	slowTokens    = 64 // long enough that no stream ends while they are counted
	servedPrompt  = 4 << 10
	servedKey     = "capacity-key"
	servedModel   = "base"
	startLimit    = 15 * time.Second
)

const servingCode = "process/node Node: caller, completion, upstream adapter"

func servingSlopes(Config) (slopes []Slope, err error) {
	quick, err := newServedSite(servedDecode)
	if err != nil {
		return nil, err
	}
	defer quick.close()
	quick.serve(true, servedStreams, 8) // opens the connections
	quick.serve(false, servedStreams, 8)
	perToken := quick.difference([]int{8, 16, 32, 64})
	lines, logged := quick.logs([]int{50, 100, 200, 400})
	answers := quick.answers([]int{2, 4, 6, 10})
	slow, err := newServedSite(slowDecode)
	if err != nil {
		return nil, err
	}
	defer slow.close()
	open := slow.openStreams([]int{16, 32, 64, 96})
	slopes = []Slope{
		newSlope(tokenMicros, servingCode, "µs", PerToken, perToken),
		newSlope(answerMicros, servingCode, "µs", PerRequest, answers),
		newSlope(streamHeap, servingCode, "bytes", PerStream, open),
		newSlope(logBytes, "process/event, request/completion", "bytes", PerRequest, logged),
		newSlope(logLines, "process/event, request/completion", "lines", PerRequest, lines),
	}
	if failed := quick.failed.Load(); failed != nil {
		return nil, fmt.Errorf("short answers: %w", *failed)
	}
	if failed := slow.failed.Load(); failed != nil {
		return nil, fmt.Errorf("open streams: %w", *failed)
	}
	return slopes, nil
}

// servedSite is one node with stand-ins for the log and one engine.
type servedSite struct {
	decode   time.Duration
	log      *logservice.Log
	engine   *engine.Engine
	client   *http.Client
	node     string // address for callers
	upstream string // address of the engine
	lines    lineCounter
	stop     context.CancelFunc
	done     chan struct{}
	failed   atomic.Pointer[error]
	streams  atomic.Int64 // ids of direct requests
}

// lineCounter counts the log's lines and bytes.
type lineCounter struct {
	lines, bytes atomic.Int64
}

// Write implements io.Writer; each call is one line.
func (l *lineCounter) Write(p []byte) (int, error) {
	l.lines.Add(1)
	l.bytes.Add(int64(len(p)))
	return len(p), nil
}

func newServedSite(decode time.Duration) (*servedSite, error) {
	s := &servedSite{
		decode: decode,
		log:    logservice.New(logservice.Config{}),
		engine: engine.New(engine.Config{
			Slots: 4096, Queue: 4096, PrefillRate: 1e12, Decode: decode, Hold: time.Millisecond, CacheTokens: 1 << 24,
		}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
	}
	logAddress, err := s.log.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if s.upstream, err = s.engine.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err := s.configure(logAddress); err != nil {
		return nil, err
	}
	if err := s.start(logAddress); err != nil {
		return nil, err
	}
	return s, s.await()
}

// configure writes the first configuration to the log.
func (s *servedSite) configure(logAddress string) error {
	bootstrap := record.Bootstrap{Changes: []config.Change{
		{SetModel: &config.Model{Name: servedModel, Version: "v1"}},
		{SetWorkspace: &config.Workspace{
			Name: workspaceName(0), Weight: 1, Keys: []config.Key{{ID: "first", Hash: keyring.Hash(servedKey)}},
			Shares: []config.Share{{Pool: "pool", Percent: 100}},
		}},
	}}
	for i := range servedEngines {
		bootstrap.Changes = append(bootstrap.Changes, config.Change{SetUpstream: &config.Upstream{
			Name: engineName(i), Address: s.upstream, DataCentre: "dc-0", Pool: "pool", Models: []string{servedModel},
			Slots: 64, PrefillRate: s.prefill(),
		}})
	}
	r, err := record.New("capacity-first", 0, time.Now(), bootstrap)
	if err != nil {
		return err
	}
	body, err := record.Encode([]record.Record{r})
	if err != nil {
		return err
	}
	l := platformhttp.NewLog(logAddress, platformhttp.Config{})
	defer l.Close()
	_, err = l.Append(context.Background(), record.Stream, body)
	return err
}

// prefill is the rate at which the engines are said to compute: with the
// prompt it gives twice the time to the first token, so that the node's limits
// don't take the stand-in for slow.
func (s *servedSite) prefill() float64 {
	return servedPrompt / prefix.BytesPerToken / (2*s.decode + 50*time.Millisecond).Seconds()
}

func (s *servedSite) start(logAddress string) error {
	c := settings.Default()
	c.Node, c.DataCentre = "node-001", "dc-0"
	c.Listen.Callers.Address = "127.0.0.1:0"
	c.Listen.Operators.Address = "127.0.0.1:0"
	c.Listen.Peers.Address = "127.0.0.1:0"
	c.Platform.Log = logAddress
	c.Peers.Secret = "capacity-secret-of-32-bytes-0000"
	c.Operators.BootstrapToken = "capacity-token"
	c.Queue.Length = 4096
	c.Shutdown.Notice = time.Millisecond
	c.Shutdown.Grace = time.Second
	n, err := node.New(c, &s.lines)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.done = stop, make(chan struct{})
	s.node = n.Addresses().Callers
	go func() {
		defer close(s.done)
		if err := n.Run(ctx); err != nil {
			s.fail(err)
		}
	}()
	return nil
}

func (s *servedSite) fail(err error) { s.failed.CompareAndSwap(nil, &err) }

func (s *servedSite) close() {
	s.stop()
	s.client.CloseIdleConnections()
	s.engine.Close()
	<-s.done
	s.log.Close()
}

// await asks until the node serves.
func (s *servedSite) await() error {
	end := time.Now().Add(startLimit)
	for {
		err := s.request(context.Background(), true, 1)
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// request asks the node, or the engine itself, and reads the whole answer.
func (s *servedSite) request(ctx context.Context, throughNode bool, tokens int) error {
	resp, err := s.begin(ctx, throughNode, tokens)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (s *servedSite) begin(ctx context.Context, throughNode bool, tokens int) (*http.Response, error) {
	prompt := fmt.Sprint(s.streams.Add(1)) + string(bytes.Repeat([]byte("word "), servedPrompt/5))
	url := "http://" + s.node + "/v1/chat/completions"
	body := lo.Must(json.Marshal(chatRequest{
		Model: servedModel, MaxTokens: tokens, Stream: true, Messages: []chatMessage{{Role: "user", Content: prompt}},
	}))
	if !throughNode {
		url = "http://" + s.upstream + upstreamhttp.PathGenerate
		body = lo.Must(json.Marshal(upstream.Generation{
			StreamID: fmt.Sprint("direct-", s.streams.Add(1)), Model: servedModel, Version: "v1", MaxTokens: tokens,
			Prompt: []upstream.Part{{Role: "user", Content: prompt}},
		}))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+servedKey)
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

type chatRequest struct {
	Model     string        `json:"model"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// serve has so many streams side by side run to their end.
func (s *servedSite) serve(throughNode bool, streams, tokens int) {
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			if err := s.request(context.Background(), throughNode, tokens); err != nil {
				s.fail(err)
			}
		})
	}
	wg.Wait()
}

// micros is the processor time of rounds of streams through the node, less
// that of the same streams straight from the engine: what the caller and the
// engine's stand-in cost in this process is in both.
func (s *servedSite) micros(rounds, tokens int) float64 {
	through := spend(rounds, func() { s.serve(true, servedStreams, tokens) })
	direct := spend(rounds, func() { s.serve(false, servedStreams, tokens) })
	return (through - direct).Seconds() * 1e6
}

// difference gives the node's processor time against the tokens of all
// streams. The stand-in's answers have up to 64 tokens.
func (s *servedSite) difference(lengths []int) []Point {
	return lo.Map(lengths, func(n int, _ int) Point {
		return Point{Size: float64(n * servedStreams * servedRounds), Value: s.micros(servedRounds, n)}
	})
}

// answers gives the node's processor time against the answers of one token.
func (s *servedSite) answers(rounds []int) []Point {
	return lo.Map(rounds, func(n int, _ int) Point {
		return Point{Size: float64(n * servedStreams), Value: s.micros(n, 1)}
	})
}

// logs counts the lines and bytes that requests leave in the log.
func (s *servedSite) logs(counts []int) (lines, logged []Point) {
	for _, n := range counts {
		l, b := s.lines.lines.Load(), s.lines.bytes.Load()
		s.serve(true, n, 1)
		lines = append(lines, Point{Size: float64(n), Value: float64(s.lines.lines.Load() - l)})
		logged = append(logged, Point{Size: float64(n), Value: float64(s.lines.bytes.Load() - b)})
	}
	return lines, logged
}

// openStreams gives the bytes of streams that wait for their next token,
// through the node less straight from the engine.
func (s *servedSite) openStreams(counts []int) []Point {
	return lo.Map(counts, func(n int, _ int) Point {
		return Point{Size: float64(n), Value: max(0, s.held(true, n)-s.held(false, n))}
	})
}

// held is the heap and the stacks that n waiting streams take.
func (s *servedSite) held(throughNode bool, n int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	before := heapAndStacks()
	responses := make([]*http.Response, n)
	var g errgroup.Group
	g.SetLimit(openAtOnce)
	for i := range responses {
		g.Go(func() (err error) {
			responses[i], err = s.begin(ctx, throughNode, slowTokens)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.fail(err)
	}
	bytes := heapAndStacks() - before
	cancel()
	for _, r := range responses {
		if r != nil {
			_ = r.Body.Close()
		}
	}
	time.Sleep(2 * s.decode) // the node notices with the next token
	return bytes
}

func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
