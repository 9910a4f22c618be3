package netdial_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/covelink/covelink/internal/netdial"
)

const (
	// receiveBuffer is smaller than what the test writes, so that the sender's kernel keeps bytes that are not acknowledged.
	receiveBuffer = 4096
	writeTime     = 300 * time.Millisecond
)

// Guards against bytes that the kernel sends after their connection was closed: calls that had been given up reached their peer seconds later.
func TestClosedConnectionSendsNothingMore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := netdial.New(netdial.Options{ConnectTimeout: time.Second, UserTimeout: time.Minute}).DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := peer.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
		t.Fatal(err)
	}
	written := writeUntilFull(t, conn)
	conn.Close()
	received, err := io.Copy(io.Discard, peer)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer's read ended with %v after %d of %d bytes, want a reset", err, received, written)
	}
	if received >= written {
		t.Errorf("the peer received all of %d bytes", written)
	}
}

// writeUntilFull writes until the peer's buffer and this side's are full.
func writeUntilFull(t *testing.T, conn net.Conn) (written int64) {
	t.Helper()
	if err := conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		t.Fatal(err)
	}
	for {
		n, err := conn.Write(make([]byte, 1<<16))
		written += int64(n)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return written
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
