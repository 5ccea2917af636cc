package peer

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/transport"
	"github.com/dunlinmill/dunlinmill/process/event"
)

// ServerConfig configures a Server. Zero values mean the defaults.
type ServerConfig struct {
	Secrets          [][]byte    // accepted fleet secrets, the preferred one first
	TLS              *tls.Config // nil means plain TCP
	HandshakeTimeout time.Duration
	MessageTimeout   time.Duration // from the first byte of a message to its last, and for each write
	IdleTimeout      time.Duration // between two messages on a connection
	MaxConnections   int
	MaxHandshakes    int // connections that have not authenticated; the oldest gives way to a new one
	MaxInFlight      int // concurrent calls on one connection
	MaxMessageBytes  int
	Grace            time.Duration // for calls in progress on Close
	Logger           *zap.Logger   // nil disables logging
}

func (c ServerConfig) withDefaults() ServerConfig {
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.MessageTimeout = cmp.Or(c.MessageTimeout, DefaultMessageTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MaxHandshakes = cmp.Or(c.MaxHandshakes, DefaultMaxHandshakes)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.Grace = cmp.Or(c.Grace, DefaultGrace)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

// Server serves calls from peers. Its methods are safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	rpc      *rpc.Server
	counters counters
	streams  func(net.Conn) // nil: streams are refused
	// handshakes holds the connections that have not authenticated.
	handshakes *transport.Table

	refusalLogLimit, acceptLogLimit rate.Sometimes

	mu       sync.Mutex // protects the fields below
	secrets  [][]byte
	listener *transport.Listener
	conns    map[*serverCodec]struct{}
	pending  map[net.Conn]struct{} // connections in their handshake
	closed   bool
	done     sync.WaitGroup
}

// NewServer returns a server that accepts no connections before Start is called.
func NewServer(cfg ServerConfig) (*Server, error) {
	if err := checkSecrets(cfg.Secrets); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Server{
		cfg:             cfg,
		rpc:             rpc.NewServer(),
		handshakes:      transport.NewTable(cfg.MaxHandshakes),
		refusalLogLimit: rate.Sometimes{First: refusalLogBurst, Interval: refusalLogInterval},
		acceptLogLimit:  rate.Sometimes{First: refusalLogBurst, Interval: refusalLogInterval},
		secrets:         cfg.Secrets,
		conns:           map[*serverCodec]struct{}{},
		pending:         map[net.Conn]struct{}{},
	}, nil
}

// Register publishes the methods of rcvr that are suitable for net/rpc as name.Method.
func (s *Server) Register(name string, rcvr any) error {
	if err := s.rpc.RegisterName(name, rcvr); err != nil {
		return fmt.Errorf("peer service %s: %w", name, err)
	}
	return nil
}

// HandleStreams makes f serve the connections that are opened for a stream. f gets them
// without a deadline, must return before Close can, and its connections don't count as
// calls. It must be called before Start. Streams are refused on TLS connections, whose
// failures can't be passed on as resets.
func (s *Server) HandleStreams(f func(net.Conn)) { s.streams = f }

// SetSecrets replaces the secrets accepted on new connections.
func (s *Server) SetSecrets(secrets [][]byte) error {
	if err := checkSecrets(secrets); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets = secrets
	return nil
}

// Stats returns the current counts.
func (s *Server) Stats() Stats { return s.counters.stats() }

// Start listens on address, accepts connections in the background and returns the
// address with the bound port.
func (s *Server) Start(address string) (string, error) {
	lc := net.ListenConfig{KeepAlive: noKeepAlive, Control: transport.LimitReceiveBuffer}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", fmt.Errorf("peer listener: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.listener != nil {
		l.Close()
		return "", fmt.Errorf("peer listener on %s: already started or closed: %w", address, ErrClosed)
	}
	bounded := transport.NewListener(l, s.handshakes, acceptEvents{s})
	s.listener = bounded
	s.done.Go(func() { s.acceptLoop(bounded) })
	return l.Addr().String(), nil
}

func (s *Server) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

// acceptEvents records what becomes of connections before they are served.
type acceptEvents struct{ server *Server }

var _ transport.Events = acceptEvents{}

func (e acceptEvents) NotAccepted(err error) {
	e.server.acceptLogLimit.Do(func() { event.Warn(e.server.cfg.Logger, event.AcceptFailed, zap.Error(err)) })
}

// Replaced does nothing: the handshake fails, which is recorded.
func (acceptEvents) Replaced(net.Addr) {}

func (e acceptEvents) Refused(from net.Addr) { e.server.recordRefusal(from, errTooManyHandshakes) }

// receiveBufferBytes is the receive buffer of a connection that has authenticated.
const receiveBufferBytes = 64 << 10

func (s *Server) serve(accepted net.Conn) {
	counted := newCountedConn(accepted, &s.counters, s.cfg.MessageTimeout)
	defer counted.Close()
	var conn net.Conn = counted
	if s.cfg.TLS != nil {
		conn = tls.Server(counted, s.cfg.TLS)
	}
	if !s.addPending(conn) {
		s.recordRefusal(accepted.RemoteAddr(), errTooManyConnections)
		return
	}
	stream, err := serverHandshake(conn, s.currentSecrets(), s.cfg.HandshakeTimeout)
	if err == nil && stream && (s.streams == nil || s.cfg.TLS != nil) {
		err = errNoStreams
	}
	if err != nil {
		s.removePending(conn)
		s.recordRefusal(accepted.RemoteAddr(), err)
		return
	}
	raw, ok := transport.Detach(accepted)
	if !ok {
		s.removePending(conn)
		s.recordRefusal(accepted.RemoteAddr(), errTooManyHandshakes)
		return
	}
	if t, ok := raw.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(receiveBufferBytes) // only makes transfers faster
	}
	if stream {
		s.removePending(conn)
		s.streams(raw)
		return
	}
	codec := newServerCodec(conn, s)
	if !s.promote(conn, codec) {
		return
	}
	s.rpc.ServeCodec(codec)
	s.mu.Lock()
	delete(s.conns, codec)
	s.mu.Unlock()
}

var errNoStreams = errors.New("no streams are served")

var (
	errTooManyConnections = errors.New("too many connections")
	errTooManyHandshakes  = errors.New("too many connections that have not authenticated")
)

// Limits on logging connections that are refused or not accepted: the first refusalLogBurst are logged, then one in each interval.
const (
	refusalLogBurst    = 10
	refusalLogInterval = time.Second
)

func (s *Server) recordRefusal(from net.Addr, err error) {
	s.counters.refused.Add(1)
	s.refusalLogLimit.Do(func() {
		event.Warn(s.cfg.Logger, event.PeerConnectionRefused,
			zap.Stringer("Address", from), zap.Error(err), zap.Uint64("Refused", s.counters.refused.Load()))
	})
}

func (s *Server) currentSecrets() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.secrets
}

func (s *Server) addPending(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns)+len(s.pending) >= s.cfg.MaxConnections {
		return false
	}
	s.pending[conn] = struct{}{}
	return true
}

func (s *Server) removePending(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, conn)
}

func (s *Server) promote(conn net.Conn, codec *serverCodec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, conn)
	if s.closed {
		return false
	}
	s.conns[codec] = struct{}{}
	return true
}

// Close stops accepting connections and reading calls, waits up to the grace period for
// the calls in progress, and then closes the remaining connections.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for conn := range s.pending {
		conn.Close()
	}
	for codec := range s.conns {
		codec.stopReading()
	}
	s.mu.Unlock()
	cut := time.AfterFunc(s.cfg.Grace, s.closeConnections)
	defer cut.Stop()
	s.done.Wait()
	return nil
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for codec := range s.conns {
		codec.Close()
	}
}

// serverCodec is net/rpc's gob codec with limits on the size of a message, the time to
// transfer it, the time between messages and the number of calls in progress.
type serverCodec struct {
	conn     net.Conn
	server   *Server
	limited  *limitedReader
	dec      *gob.Decoder
	enc      *gob.Encoder
	buf      *bufio.Writer
	slots    chan struct{} // one for each call in progress
	stopping atomic.Bool
}

func newServerCodec(conn net.Conn, s *Server) *serverCodec {
	limited := newLimitedReader(conn, s.cfg.MaxMessageBytes)
	buf := bufio.NewWriter(conn)
	return &serverCodec{
		conn:    conn,
		server:  s,
		limited: limited,
		dec:     gob.NewDecoder(limited),
		enc:     gob.NewEncoder(buf),
		buf:     buf,
		slots:   make(chan struct{}, s.cfg.MaxInFlight),
	}
}

// stopReading ends the connection once its calls in progress have ended. net/rpc waits
// for them when it cannot read the next header.
func (c *serverCodec) stopReading() {
	c.stopping.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *serverCodec) setReadDeadline(t time.Time) error {
	if err := c.conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.stopping.Load() {
		return c.conn.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	err := c.readHeader(r)
	if err != nil {
		<-c.slots
	}
	return err
}

func (c *serverCodec) readHeader(r *rpc.Request) error {
	if err := c.setReadDeadline(time.Now().Add(c.server.cfg.IdleTimeout)); err != nil {
		return err
	}
	if _, err := c.limited.r.Peek(1); err != nil {
		return err
	}
	if err := c.setReadDeadline(time.Now().Add(c.server.cfg.MessageTimeout)); err != nil {
		return err
	}
	c.limited.reset()
	return c.dec.Decode(r)
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if errors.Is(err, ErrTooLarge) {
		// The rest of the message exceeds the limit and cannot be skipped. The server
		// would read the bytes that follow as a header.
		c.stopReading()
	}
	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	c.server.counters.calls.Add(1)
	err := errors.Join(c.enc.Encode(r), c.enc.Encode(body))
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }
