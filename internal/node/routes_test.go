package node

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/settings"
)

func TestRoutes(t *testing.T) {
	Convey("An address with a route is dialled by it, any other as it is", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		const known = "192.0.2.1:9"
		config := settings.Default()
		config.Cluster.Routes = []settings.Route{{Address: known, Via: listener.Addr().String()}}
		replaced := newRoutes(config)

		for _, address := range []string{known, listener.Addr().String()} {
			connection, err := replaced.nodes(nil)(context.Background(), address)
			So(err, ShouldBeNil)
			So(connection.Close(), ShouldBeNil)
			connection, err = replaced.engines()(context.Background(), "tcp", address)
			So(err, ShouldBeNil)
			So(connection.Close(), ShouldBeNil)
		}
		refuse := errors.New("refused")
		dial := replaced.nodes(func(_ context.Context, address string) (net.Conn, error) {
			So(address, ShouldEqual, listener.Addr().String())
			return nil, refuse
		})
		_, err = dial(context.Background(), known)
		So(err, ShouldEqual, refuse)
	})
	Convey("Without routes nothing is replaced", t, func() {
		So(newRoutes(settings.Default()).nodes(nil), ShouldBeNil)
		So(newRoutes(settings.Default()).engines(), ShouldBeNil)
	})
}
