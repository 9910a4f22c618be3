package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"reflect"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/telemetry"
)

const (
	helloTimeout          = 5 * time.Second
	defaultMaxConcurrency = 1024
	acceptRetryDelay      = 50 * time.Millisecond
	overloadedRetryAfter  = 100 * time.Millisecond
	defaultMaxGreetings   = 1024
	// maxHelloBytes bounds the first frame, which is read before the peer is known.
	maxHelloBytes = 4 << 10
)

// Peer names the node at the other end of a connection.
type Peer struct {
	Name string
	Zone string
}

// Observer is told of every frame, for metrics.
type Observer interface {
	// Frame reports a frame of the method (empty for replies) and its size on the wire.
	Frame(method string, sent bool, bytes int)
}

type handler struct {
	newRequest func() any
	serve      func(ctx context.Context, peer Peer, request any) (any, error)
}

// Server answers requests.
type Server struct {
	// MaxFrameBytes bounds a frame; zero means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// MaxConcurrency bounds the requests served at once on one connection; zero means 1024.
	MaxConcurrency int
	// MaxGreetings returns how many connections may be open whose peer is not known yet; beyond it the oldest of them is closed. Nil means 1024.
	MaxGreetings func() int
	// Observer may be nil.
	Observer Observer
	Logger   log.Logger

	mu       sync.Mutex
	handlers map[string]handler
	conns    map[net.Conn]struct{}
	// greetings are the connections whose peer is not known yet, the oldest first.
	greetings []net.Conn
	closed    bool
	requests  int             // being served
	idle      []chan struct{} // closed when requests falls to zero
	running   sync.WaitGroup
}

// NewServer returns a Server without handlers.
func NewServer(logger log.Logger) *Server {
	return &Server{Logger: telemetry.For(logger, telemetry.PartRPC), handlers: make(map[string]handler), conns: make(map[net.Conn]struct{})}
}

// Handle makes serve answer every request of type Req. It must be called before Serve and once per type.
func Handle[Req, Resp any](s *Server, serve func(ctx context.Context, peer Peer, request Req) (Resp, error)) {
	method := methodOf[Req]()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.handlers[method]; exists {
		panic("rpc: two handlers for " + method)
	}
	s.handlers[method] = handler{
		newRequest: func() any { return new(Req) },
		serve: func(ctx context.Context, peer Peer, request any) (any, error) {
			return serve(ctx, peer, *request.(*Req))
		},
	}
}

func methodOf[Req any]() string { return reflect.TypeFor[Req]().String() }

// temporary reports whether a later Accept may succeed.
func temporary(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Serve accepts connections until the listener fails, which is an error, or is closed or Close is called, which is none.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if !temporary(err) {
				return err
			}
			level.Warn(s.Logger).Log("msg", "connection not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.track(conn) {
			conn.Close()
			return nil
		}
		go func() {
			defer s.running.Done()
			defer s.untrack(conn)
			s.serveConn(conn)
		}()
	}
}

// Drain waits until no request is being served, each having been answered, or ctx ends. Requests that arrive in the
// meantime are served.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if s.requests == 0 {
		s.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	s.idle = append(s.idle, idle)
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) beginRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
	if s.requests > 0 {
		return
	}
	for _, idle := range s.idle {
		close(idle)
	}
	s.idle = nil
}

// Close ends every connection and waits for the handlers to return. The caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(conn net.Conn) bool {
	limit := s.greetingLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
	s.greet(conn, limit)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
}

func (s *Server) frameLimit() int {
	if s.MaxFrameBytes > 0 {
		return s.MaxFrameBytes
	}
	return DefaultMaxFrameBytes
}

func (s *Server) concurrency() int {
	if s.MaxConcurrency > 0 {
		return s.MaxConcurrency
	}
	return defaultMaxConcurrency
}

func (s *Server) observe(method string, sent bool, bytes int) {
	if s.Observer != nil {
		s.Observer.Frame(method, sent, bytes)
	}
}

// serveConn runs one connection until it fails.
func (s *Server) serveConn(conn net.Conn) {
	reader := newFrameReader(conn, maxHelloBytes)
	peer, err := s.receiveHello(conn, reader)
	s.greeted(conn)
	if err != nil {
		level.Warn(s.Logger).Log("msg", "connection refused", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	reader.limit = s.frameLimit()
	session := &session{
		server:  s,
		conn:    conn,
		peer:    peer,
		reader:  reader,
		writer:  newFrameWriter(conn, s.frameLimit()),
		slots:   make(chan struct{}, s.concurrency()),
		cancels: make(map[uint64]context.CancelFunc),
	}
	if err := session.run(); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		level.Info(s.Logger).Log("msg", "connection ended", "peer", peer.Name, "err", err)
	}
}

func (s *Server) receiveHello(conn net.Conn, reader *frameReader) (Peer, error) {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	defer conn.SetDeadline(time.Time{})
	got := make([]byte, len(preamble))
	if _, err := io.ReadFull(conn, got); err != nil {
		return Peer{}, err
	}
	if string(got) != preamble {
		return Peer{}, ErrBadPreamble
	}
	if _, _, err := reader.next(); err != nil {
		return Peer{}, err
	}
	var greeting hello
	if err := reader.body(&greeting); err != nil {
		return Peer{}, err
	}
	return greeting.Peer, checkCertificate(conn, greeting.Peer)
}

// checkCertificate refuses a caller whose certificate does not bear the name it states.
func checkCertificate(conn net.Conn, peer Peer) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return errors.New("rpc: no client certificate")
	}
	return certificates[0].VerifyHostname(peer.Name)
}

// session is one connection being served.
type session struct {
	server *Server
	conn   net.Conn
	peer   Peer
	reader *frameReader
	writer *frameWriter
	slots  chan struct{}

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (c *session) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	var active sync.WaitGroup
	defer active.Wait()
	defer cancel()
	for {
		head, size, err := c.reader.next()
		if err != nil {
			return err
		}
		c.server.observe(head.Method, false, size)
		if head.Cancel {
			if err := c.reader.body(nil); err != nil {
				return err
			}
			c.cancel(head.ID)
			continue
		}
		if err := c.accept(ctx, head, &active); err != nil {
			return err
		}
	}
}

// accept decodes one request and starts its handler.
func (c *session) accept(ctx context.Context, head header, active *sync.WaitGroup) error {
	c.server.mu.Lock()
	handler, known := c.server.handlers[head.Method]
	c.server.mu.Unlock()
	if !known {
		if err := c.reader.body(nil); err != nil {
			return err
		}
		c.reply(head.ID, nil, v1.Errorf(v1.CodeNotFound, "%s %s", ErrUnknownMethod, head.Method))
		return nil
	}
	request := handler.newRequest()
	if err := c.reader.body(request); err != nil {
		return err
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.reply(head.ID, nil, v1.NotRun(v1.CodeOverloaded, overloadedRetryAfter, "too many requests on the connection"))
		return nil
	}
	callCtx, cancel := c.callContext(ctx, head)
	c.server.beginRequest()
	active.Go(func() {
		defer c.server.endRequest()
		defer func() { <-c.slots }()
		defer c.finish(head.ID, cancel)
		response, err := handler.serve(callCtx, c.peer, request)
		c.reply(head.ID, response, err)
	})
	return nil
}

func (c *session) callContext(ctx context.Context, head header) (callCtx context.Context, cancel context.CancelFunc) {
	if head.Timeout > 0 {
		callCtx, cancel = context.WithTimeout(ctx, head.Timeout)
	} else {
		callCtx, cancel = context.WithCancel(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[head.ID] = cancel
	return callCtx, cancel
}

func (c *session) finish(id uint64, cancel context.CancelFunc) {
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, id)
}

func (c *session) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[id]; ok {
		cancel()
	}
}

// reply answers a request. When the answer cannot be encoded or is too large, the caller is told so; when it cannot be
// written, the connection is closed, so that the caller does not wait for it.
func (c *session) reply(id uint64, response any, err error) {
	head := header{ID: id, Failure: toError(err)}
	if head.Failure != nil {
		response = empty{}
	}
	size, _, err := c.writer.write(context.Background(), head, response)
	if errors.Is(err, errEncode) {
		head.Failure = unsendable(err)
		size, _, err = c.writer.write(context.Background(), head, empty{})
	}
	if err != nil {
		level.Info(c.server.Logger).Log("msg", "reply not sent", "peer", c.peer.Name, "err", err)
		c.conn.Close()
		return
	}
	c.server.observe("", true, size)
}

// unsendable returns the failure that stands for an answer that exists but cannot be sent.
func unsendable(err error) *v1.Error {
	failure := v1.Errorf(v1.CodeInternal, "the reply cannot be sent: %s", err)
	failure.Outcome = v1.OutcomeUnknown
	return failure
}
