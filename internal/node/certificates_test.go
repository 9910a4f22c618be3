package node_test

import (
	"crypto/tls"
	"path/filepath"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/testkit"
)

// files names the files of a node for both of its listeners.
func files(folder, name string) settings.TLS {
	path := func(file string) string { return filepath.Join(folder, name, file) }
	return settings.TLS{
		CertFile: path(testkit.CertFile), KeyFile: path(testkit.KeyFile), CAFile: path(testkit.CAFile),
		CallerCertFile: path(testkit.CertFile), CallerKeyFile: path(testkit.KeyFile),
	}
}

func certificate(folder, name string) []tls.Certificate {
	loaded, err := tls.LoadX509KeyPair(filepath.Join(folder, name, testkit.CertFile), filepath.Join(folder, name, testkit.KeyFile))
	So(err, ShouldBeNil)
	return []tls.Certificate{loaded}
}

func newAuthority() *testkit.Authority {
	authority, err := testkit.NewAuthority()
	So(err, ShouldBeNil)
	return authority
}
