package fleetnode

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/httpdrain"
	"github.com/covelink/covelink/internal/intake"
	"github.com/covelink/covelink/internal/routing"
)

// acceptRetryDelay is the pause after a connection that could not be accepted.
const acceptRetryDelay = 5 * time.Millisecond

// defaultLimits hold while no configuration sets others.
var defaultLimits = routing.Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 30 * time.Second, IdleTimeout: 5 * time.Minute}

// Limits of the listeners that only operators and the platform call.
const (
	operatorConnections = 64
	operatorBytes       = 4 << 20
)

var operatorLimits = routing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}

// listenerOptions bound what the clients of a listener hold.
type listenerOptions struct {
	pool *intake.Pool
	// limits returns the limits of connections that are accepted now.
	limits func() routing.Limits
}

// operatorListener returns the bounds of a listener that operators and the platform call.
func operatorListener(logger log.Logger) listenerOptions {
	return listenerOptions{
		pool: intake.NewPool(intake.Params{
			MaxBytes:       operatorBytes,
			MaxConnections: func() int { return operatorConnections },
			Logger:         logger,
		}),
		limits: func() routing.Limits { return operatorLimits },
	}
}

// httpServer is a listener with its servers. net/http reads its limits without synchronization, so that connections which were accepted under other
// limits have a server of their own.
type httpServer struct {
	listenerOptions
	listener *watchedListener
	handler  http.Handler
	open     *httpdrain.Connections
	logger   log.Logger

	mu      sync.Mutex
	servers []*limitedServer
	closed  bool
}

func listenHTTP(ctx context.Context, address string, handler http.Handler, options listenerOptions, logger log.Logger) (*httpServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &httpServer{
		listenerOptions: options,
		listener:        &watchedListener{Listener: listener},
		handler:         intake.Handler(handler),
		open:            httpdrain.New(),
		logger:          logger,
	}, nil
}

// serve accepts connections until the listener is closed.
func (s *httpServer) serve() {
	for {
		connection, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			level.Warn(s.logger).Log("msg", "connection not accepted", "address", s.listener.Addr(), "err", err)
			s.pool.Shed()
			time.Sleep(acceptRetryDelay)
			continue
		}
		limits := s.limits()
		admitted, ok := s.pool.Admit(connection, intake.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout})
		if ok {
			s.serverFor(limits).take(admitted)
		}
	}
}

// serverFor returns the server of connections with some limits.
func (s *httpServer) serverFor(limits routing.Limits) *limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits.MaxBodyBytes = 0
	for _, known := range s.servers {
		if known.limits == limits {
			return known
		}
	}
	server := s.newLimitedServer(limits)
	s.servers = append(s.servers, server)
	if s.closed {
		server.Close()
	}
	return server
}

// drain waits until callers open no more connections, closes the listener and finishes the requests that are on their way.
// The end of ctx cuts off what is left.
func (s *httpServer) drain(ctx context.Context) error {
	s.open.AwaitLeft(ctx)
	s.listener.Close()
	s.open.AwaitQuiet(ctx)
	// All servers shut down at once: each closes connections as they become idle, while one of them may wait for a long request.
	var group errgroup.Group
	for _, server := range s.endIntake() {
		group.Go(func() error {
			err := server.Shutdown(ctx)
			if err != nil {
				server.Close()
			}
			return err
		})
	}
	return group.Wait()
}

// close cuts off all connections.
func (s *httpServer) close() {
	s.listener.Close()
	for _, server := range s.endIntake() {
		server.Close()
	}
}

// endIntake makes later connections be closed at once, and returns the servers.
func (s *httpServer) endIntake() []*limitedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.servers
}

// limitedServer serves the connections that were accepted under some limits. It is the listener of its own server.
type limitedServer struct {
	*http.Server
	limits      routing.Limits
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
}

func (s *httpServer) newLimitedServer(limits routing.Limits) *limitedServer {
	limited := &limitedServer{limits: limits, address: s.listener.Addr(), connections: make(chan net.Conn), closed: make(chan struct{})}
	limited.Server = &http.Server{
		Handler:           s.handler,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         s.open.Note,
		ConnContext:       intake.ConnContext,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(level.Warn(s.logger)), "", 0),
	}
	// It ends with an error once the server was shut down.
	go func() { _ = limited.Serve(handOver{limited}) }()
	return limited
}

// take serves a connection.
func (s *limitedServer) take(connection net.Conn) {
	select {
	case s.connections <- connection:
	case <-s.closed:
		connection.Close()
	}
}

// handOver is the listener of a limitedServer.
type handOver struct{ *limitedServer }

// Accept implements net.Listener.
func (h handOver) Accept() (net.Conn, error) {
	select {
	case connection := <-h.connections:
		return connection, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h handOver) Close() error {
	h.closeOnce.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h handOver) Addr() net.Addr { return h.address }
