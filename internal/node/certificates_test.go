package node_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/settings"
)

// The files of a node in its folder.
const (
	certFile = "cert.pem"
	keyFile  = "key.pem"
	caFile   = "ca.pem"
)

// files names the files of a node for both of its listeners.
func files(folder, name string) settings.TLS {
	path := func(file string) string { return filepath.Join(folder, name, file) }
	return settings.TLS{
		CertFile: path(certFile), KeyFile: path(keyFile), CAFile: path(caFile),
		CallerCertFile: path(certFile), CallerKeyFile: path(keyFile),
	}
}

func certificate(folder, name string) []tls.Certificate {
	loaded, err := tls.LoadX509KeyPair(filepath.Join(folder, name, certFile), filepath.Join(folder, name, keyFile))
	So(err, ShouldBeNil)
	return []tls.Certificate{loaded}
}

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
	created, err := x509.ParseCertificate(der)
	So(err, ShouldBeNil)
	return &authority{certificate: created, key: key}
}

// issue writes the files of a node into its folder, each whole at once.
func (a *authority) issue(folder, name string, expiry time.Time) {
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
	So(os.MkdirAll(folder, 0o700), ShouldBeNil)
	writePEM(filepath.Join(folder, certFile), "CERTIFICATE", der)
	writePEM(filepath.Join(folder, keyFile), "EC PRIVATE KEY", keyDER)
	writePEM(filepath.Join(folder, caFile), "CERTIFICATE", a.certificate.Raw)
}

func writePEM(path, kind string, der []byte) {
	partial := path + ".new"
	So(os.WriteFile(partial, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), ShouldBeNil)
	So(os.Rename(partial, path), ShouldBeNil)
}
