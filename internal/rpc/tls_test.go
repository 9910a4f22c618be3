package rpc

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	So(err, ShouldBeNil)
	certificate, err := x509.ParseCertificate(der)
	So(err, ShouldBeNil)
	return &authority{certificate: certificate, key: key}
}

func writePEM(path, kind string, der []byte) {
	So(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), ShouldBeNil)
}

// issue writes the files of a node into the folder.
func (a *authority) issue(dir, name string, expiry time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	So(err, ShouldBeNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     expiry,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	So(err, ShouldBeNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	writePEM(filepath.Join(dir, "cert.pem"), "CERTIFICATE", der)
	writePEM(filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER)
	writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.certificate.Raw)
}

func load(dir string) *TLSFiles {
	files, err := LoadTLSFiles(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	So(err, ShouldBeNil)
	files.CheckInterval = -1
	return files
}

func TestTLS(t *testing.T) {
	Convey("Between nodes with mutual TLS", t, func() {
		expiry := time.Now().Add(time.Hour).Truncate(time.Second)
		nodes := newAuthority()
		serverDir, clientDir := t.TempDir(), t.TempDir()
		nodes.issue(serverDir, "callee", expiry)
		nodes.issue(clientDir, "caller", expiry)
		serverFiles, clientFiles := load(serverDir), load(clientDir)

		server := NewServer(log.NewNopLogger())
		Handle(server, echo)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := inner.Addr().String()
		served := make(chan error, 1)
		go func() { served <- server.Serve(serverFiles.Listener(inner)) }()
		Reset(func() {
			inner.Close()
			server.Close()
			So(<-served, ShouldBeNil)
		})
		call := func(name string, dial DialFunc) error {
			client := NewClient(Peer{Name: name}, dial)
			defer client.Close()
			_, err := Call[echoRequest, echoResponse](context.Background(), client, address, echoRequest{Text: "x"})
			return err
		}

		Convey("a caller under its own name is served", func() {
			So(call("caller", clientFiles.Dial), ShouldBeNil)
		})
		Convey("a caller under another name, without TLS or of another authority is not", func() {
			So(call("callee", clientFiles.Dial), ShouldNotBeNil)
			So(call("caller", nil), ShouldNotBeNil)
			strangerDir := t.TempDir()
			newAuthority().issue(strangerDir, "caller", expiry)
			So(call("caller", load(strangerDir).Dial), ShouldNotBeNil)
		})
		Convey("changed files are in use without a restart, on both sides", func() {
			later := expiry.Add(time.Hour)
			next := newAuthority()
			next.issue(serverDir, "callee", later)
			So(call("caller", clientFiles.Dial), ShouldNotBeNil)
			next.issue(clientDir, "caller", later)
			So(call("caller", clientFiles.Dial), ShouldBeNil)
			So(serverFiles.Expiry().Equal(later), ShouldBeTrue)
			So(clientFiles.Expiry().Equal(later), ShouldBeTrue)
		})
		Convey("files that do not fit leave the last good ones in use and say so", func() {
			So(serverFiles.Err(), ShouldBeNil)
			So(os.WriteFile(filepath.Join(serverDir, "key.pem"), []byte("broken"), 0o600), ShouldBeNil)
			So(call("caller", clientFiles.Dial), ShouldBeNil)
			So(serverFiles.Err(), ShouldNotBeNil)
			So(serverFiles.Expiry().Equal(expiry), ShouldBeTrue)
		})
	})
}
