package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
)

const (
	helloTimeout          = 5 * time.Second
	defaultMaxConcurrency = 1024
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
	// Observer may be nil.
	Observer Observer
	Logger   log.Logger

	mu       sync.Mutex
	handlers map[string]handler
	conns    map[net.Conn]struct{}
	closed   bool
	requests sync.WaitGroup
	running  sync.WaitGroup
}

// NewServer returns a Server without handlers.
func NewServer(logger log.Logger) *Server {
	return &Server{Logger: logger, handlers: make(map[string]handler), conns: make(map[net.Conn]struct{})}
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

// Serve accepts connections until the listener fails or Close is called.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
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

// Drain waits until every request being served has been answered, or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.running.Add(1)
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
	reader := newFrameReader(conn, s.frameLimit())
	peer, err := s.receiveHello(conn, reader)
	if err != nil {
		level.Warn(s.Logger).Log("msg", "connection refused", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	session := &session{
		server:  s,
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
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	defer conn.SetReadDeadline(time.Time{})
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
	callCtx, cancel := c.callContext(ctx, head)
	c.slots <- struct{}{}
	c.server.requests.Add(1)
	active.Go(func() {
		defer c.server.requests.Done()
		defer func() { <-c.slots }()
		defer c.finish(head.ID, cancel)
		response, err := handler.serve(callCtx, c.peer, request)
		c.reply(head.ID, response, err)
	})
	return nil
}

func (c *session) callContext(ctx context.Context, head header) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	if head.Timeout > 0 {
		callCtx, cancel = context.WithTimeout(ctx, head.Timeout)
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

func (c *session) reply(id uint64, response any, err error) {
	head := header{ID: id, Failure: toError(err)}
	if head.Failure != nil {
		response = empty{}
	}
	size, _, err := c.writer.write(head, response)
	if err != nil {
		level.Warn(c.server.Logger).Log("msg", "reply not sent", "peer", c.peer.Name, "err", err)
		return
	}
	c.server.observe("", true, size)
}
