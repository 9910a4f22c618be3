package rpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const defaultCheckInterval = time.Second

// ErrNoCertificate reports a PEM file that holds no certificate.
var ErrNoCertificate = errors.New("rpc: no certificate in file")

// TLSFiles is the mutual TLS of a node, from PEM files that are read again when they change: new connections use the new
// files, old ones stay. Files that cannot be read or do not fit each other leave the last good ones in use.
//
// A node's certificate bears the node's name, for its callees, and the host of its internal address, for its callers.
type TLSFiles struct {
	// CheckInterval is the least time between two looks at the files; zero means one second, below zero at every use.
	CheckInterval time.Duration

	certFile, keyFile, caFile string

	mu      sync.Mutex
	checked time.Time
	loaded  *tlsMaterial
	lastErr error
}

// tlsMaterial is one consistent reading of the files.
type tlsMaterial struct {
	raw         [3][]byte
	certificate tls.Certificate
	roots       *x509.CertPool
}

// LoadTLSFiles reads the files for the first time.
func LoadTLSFiles(certFile, keyFile, caFile string) (*TLSFiles, error) {
	f := &TLSFiles{certFile: certFile, keyFile: keyFile, caFile: caFile}
	material, err := f.read()
	if err != nil {
		return nil, err
	}
	f.loaded = material
	f.checked = time.Now()
	return f, nil
}

// LoadServerTLSFiles reads the files of a server that asks its callers for no certificate.
func LoadServerTLSFiles(certFile, keyFile string) (*TLSFiles, error) {
	return LoadTLSFiles(certFile, keyFile, "")
}

// Listener returns a listener that lets in only callers with a certificate of the authority, or, without an authority, every
// caller.
func (f *TLSFiles) Listener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return f.serverConfig(), nil
		},
	})
}

// Dial opens a connection to a node whose certificate must be of the authority and bear the host of the address.
func (f *TLSFiles) Dial(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	plain, err := DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(plain, f.clientConfig(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		plain.Close()
		return nil, err
	}
	return secure, nil
}

// Expiry returns the time at which the certificate in use, or the first of its chain, expires.
func (f *TLSFiles) Expiry() time.Time {
	var first time.Time
	for _, der := range f.current().certificate.Certificate {
		parsed, err := x509.ParseCertificate(der)
		if err == nil && (first.IsZero() || parsed.NotAfter.Before(first)) {
			first = parsed.NotAfter
		}
	}
	return first
}

// Err returns why the files as they are now are not in use, or nil.
func (f *TLSFiles) Err() error {
	f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastErr
}

func (f *TLSFiles) serverConfig() *tls.Config {
	material := f.current()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{material.certificate},
	}
	if f.caFile != "" {
		config.ClientCAs = material.roots
		config.ClientAuth = tls.RequireAndVerifyClientCert
		// A resumed session would not be held against a changed authority.
		config.SessionTicketsDisabled = true
	}
	return config
}

func (f *TLSFiles) clientConfig(host string) *tls.Config {
	material := f.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{material.certificate},
		RootCAs:      material.roots,
		ServerName:   host,
	}
}

// current returns the material in use, after a look at the files if one is due.
func (f *TLSFiles) current() *tlsMaterial {
	f.mu.Lock()
	defer f.mu.Unlock()
	interval := f.CheckInterval
	if interval == 0 {
		interval = defaultCheckInterval
	}
	if time.Since(f.checked) < interval {
		return f.loaded
	}
	f.checked = time.Now()
	material, err := f.read()
	f.lastErr = err
	if err == nil {
		f.loaded = material
	}
	return f.loaded
}

// read returns the material of the files; that in use if they are unchanged.
func (f *TLSFiles) read() (*tlsMaterial, error) {
	material := &tlsMaterial{}
	for index, name := range []string{f.certFile, f.keyFile, f.caFile} {
		if name == "" {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		material.raw[index] = content
	}
	if f.loaded != nil && material.sameFiles(f.loaded) {
		return f.loaded, nil
	}
	certificate, err := tls.X509KeyPair(material.raw[0], material.raw[1])
	if err != nil {
		return nil, fmt.Errorf("rpc: %s and %s: %w", f.certFile, f.keyFile, err)
	}
	material.certificate = certificate
	if f.caFile == "" {
		return material, nil
	}
	material.roots = x509.NewCertPool()
	if !material.roots.AppendCertsFromPEM(material.raw[2]) {
		return nil, fmt.Errorf("%w: %s", ErrNoCertificate, f.caFile)
	}
	return material, nil
}

func (m *tlsMaterial) sameFiles(other *tlsMaterial) bool {
	for index := range m.raw {
		if !bytes.Equal(m.raw[index], other.raw[index]) {
			return false
		}
	}
	return true
}
