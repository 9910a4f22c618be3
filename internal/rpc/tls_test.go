package rpc

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/testkit"
)

func newAuthority() *testkit.Authority {
	authority, err := testkit.NewAuthority()
	So(err, ShouldBeNil)
	return authority
}

func load(dir string) *TLSFiles {
	files, err := LoadTLSFiles(filepath.Join(dir, testkit.CertFile), filepath.Join(dir, testkit.KeyFile), filepath.Join(dir, testkit.CAFile))
	So(err, ShouldBeNil)
	files.CheckInterval = -1
	return files
}

func TestTLS(t *testing.T) {
	Convey("Between nodes with mutual TLS", t, func() {
		expiry := time.Now().Add(time.Hour).Truncate(time.Second)
		nodes := newAuthority()
		serverDir, clientDir := t.TempDir(), t.TempDir()
		So(nodes.Issue(serverDir, "callee", expiry), ShouldBeNil)
		So(nodes.Issue(clientDir, "caller", expiry), ShouldBeNil)
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
			So(newAuthority().Issue(strangerDir, "caller", expiry), ShouldBeNil)
			So(call("caller", load(strangerDir).Dial), ShouldNotBeNil)
		})
		Convey("changed files are in use without a restart, on both sides", func() {
			later := expiry.Add(time.Hour)
			next := newAuthority()
			So(next.Issue(serverDir, "callee", later), ShouldBeNil)
			So(call("caller", clientFiles.Dial), ShouldNotBeNil)
			So(next.Issue(clientDir, "caller", later), ShouldBeNil)
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
