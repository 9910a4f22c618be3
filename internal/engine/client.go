// Package engine talks to model engines: it streams completions, sends fenced orders and reads reports, over the
// contract of api/enginev1.
//
// Every result is typed. Stream states that a request was not run only when no byte of it was written to a connection,
// or when the engine itself refused it.
package engine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/netdial"
)

// The defaults of Config.
const (
	defaultMaxLineBytes   = 1 << 20
	defaultMaxAnswerBytes = 64 << 20
	defaultMaxIdle        = 64
	defaultDialTimeout    = 2 * time.Second
	// defaultIdleConnTimeout is short: a request that meets an engine's own idle timeout has an unknown outcome.
	defaultIdleConnTimeout = 15 * time.Second
	// defaultSilentIntervals is how many keep-alive intervals a stream may be silent.
	defaultSilentIntervals = 5
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a dead machine below a silent stream.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// drainTimeout and drainBytes bound what is read after a final event to make a connection reusable.
	drainTimeout    = time.Second
	drainBytes      = 4 << 10
	maxRefusalBytes = 64 << 10
	maxReportBytes  = 4 << 20
)

// Config configures a Client. The zero Config takes the defaults.
type Config struct {
	// MaxLineBytes bounds one line of a stream. Default 1 MiB.
	MaxLineBytes int
	// MaxAnswerBytes bounds the tokens of one answer and an exported KV state. Default 64 MiB.
	MaxAnswerBytes int
	// MaxIdlePerEngine bounds the idle connections kept to one engine. Default 64.
	MaxIdlePerEngine int
	// DialTimeout bounds the opening of a connection. Default 2s.
	DialTimeout time.Duration
	// StreamSilence is how long a stream may bring no line before it counts as lost. Default five keep-alive intervals.
	StreamSilence time.Duration
	// TLS is used for https URLs; nil takes the system's roots.
	TLS *tls.Config
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is an HTTP client of engines. It pools connections by engine and is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	idle   func()
	// draining holds the goroutines that read what follows a final event.
	draining sync.WaitGroup
}

// New returns a client.
func New(config Config) *Client {
	config = config.withDefaults()
	transport := &http.Transport{
		DialContext:         countingDial(config),
		TLSClientConfig:     config.TLS,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: config.MaxIdlePerEngine,
		IdleConnTimeout:     defaultIdleConnTimeout,
		DisableCompression:  true,
		// HTTP/2 would put several requests on one connection, which then could not tell whose bytes were written.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &Client{config: config, http: client, idle: transport.CloseIdleConnections}
}

// Close closes the idle connections. Streams in flight go on.
func (c *Client) Close() {
	c.draining.Wait()
	c.idle()
}

func (c Config) withDefaults() Config {
	if c.MaxLineBytes <= 0 {
		c.MaxLineBytes = defaultMaxLineBytes
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if c.MaxIdlePerEngine <= 0 {
		c.MaxIdlePerEngine = defaultMaxIdle
	}
	if c.StreamSilence <= 0 {
		c.StreamSilence = defaultSilentIntervals * enginev1.KeepAliveInterval
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.Dial == nil {
		c.Dial = DialTCP
	}
	return c
}

var engineDialer = netdial.New(netdial.Options{ProbeIdle: keepAliveIdle, ProbeInterval: keepAliveInterval, ProbeCount: keepAliveCount})

// DialTCP opens a plain connection that finds a dead machine soon. Closing it resets it.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return engineDialer.DialContext(ctx, network, address)
}

func countingDial(config Config) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, config.DialTimeout)
		defer cancel()
		conn, err := config.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// refuseRedirect makes a redirect an answer like any other: a request goes to the engine it was meant for or nowhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
