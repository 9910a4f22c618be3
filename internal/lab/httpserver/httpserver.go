// Package httpserver is the listener that every stand-in of the lab serves HTTP with.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const readHeaderTimeout = 10 * time.Second

// Server serves one handler on one address. It may be started again after it has stopped, on the same address.
type Server struct {
	// ConnContext and ConnState are those of http.Server; nil leaves them out. They are set before Start.
	ConnContext func(ctx context.Context, connection net.Conn) context.Context
	ConnState   func(connection net.Conn, state http.ConnState)

	name    string
	handler http.Handler
	logger  log.Logger

	mu      sync.Mutex
	address string
	running *running // nil while stopped
}

// running is what one start made.
type running struct {
	http *http.Server
	// stop ends the contexts of the requests in progress.
	stop     context.CancelFunc
	finished chan struct{}
}

// New returns a server that is not started. name stands in errors and logs; port 0 of the address takes a free port.
func New(name, address string, handler http.Handler, logger log.Logger) *Server {
	return &Server{name: name, address: address, handler: handler, logger: logger}
}

// Start listens and serves until Stop or Close.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		return fmt.Errorf("%s: already started", s.name)
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       s.ConnContext,
		ConnState:         s.ConnState,
	}
	s.address = listener.Addr().String()
	s.running = &running{http: server, stop: stop, finished: make(chan struct{})}
	go s.serve(s.running, listener)
	return nil
}

func (s *Server) serve(current *running, listener net.Listener) {
	defer close(current.finished)
	if err := current.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		level.Error(s.logger).Log("msg", "listener ended", "server", s.name, "err", err)
	}
}

// URL returns the base URL without a trailing slash, or "" if the server was never started.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, port, err := net.SplitHostPort(s.address); err != nil || port == "0" {
		return ""
	}
	return "http://" + s.address
}

// Stop ends the server once the requests in progress are done, or cuts them when ctx ends, whose error it then returns.
func (s *Server) Stop(ctx context.Context) error {
	current := s.take()
	if current == nil {
		return nil
	}
	defer current.stop()
	err := current.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, current.http.Close())
	}
	<-current.finished
	return err
}

// Close cuts every connection at once.
func (s *Server) Close() {
	current := s.take()
	if current == nil {
		return
	}
	current.stop()
	// The error of closing a listener that is gone anyway changes nothing.
	_ = current.http.Close()
	<-current.finished
}

func (s *Server) take() *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.running
	s.running = nil
	return current
}
