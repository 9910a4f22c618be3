package fleetnode

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails while err is set.
type failingListener struct {
	net.Listener
	err error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) { return nil, l.err }

func TestWatchedListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A listener out of descriptors takes no connections, until it does again or is not known to fail any more", t, func() {
			inner := &failingListener{}
			listener := &watchedListener{Listener: inner}
			So(listener.accepting(), ShouldBeTrue)
			inner.err = syscall.EMFILE
			_, err := listener.Accept()
			So(err, ShouldNotBeNil)
			So(listener.accepting(), ShouldBeFalse)
			inner.err = nil
			_, err = listener.Accept()
			So(err, ShouldBeNil)
			So(listener.accepting(), ShouldBeTrue)
			inner.err = syscall.EMFILE
			_, _ = listener.Accept()
			time.Sleep(acceptPatience + time.Millisecond)
			So(listener.accepting(), ShouldBeTrue)
			inner.err = net.ErrClosed
			_, _ = listener.Accept()
			So(listener.accepting(), ShouldBeTrue)
		})
	})
}
