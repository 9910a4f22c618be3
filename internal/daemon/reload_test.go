package daemon

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

// A process without a handler is ended by SIGHUP: six did on a day with the kind hup.
func TestHangupReloads(t *testing.T) {
	Convey("SIGHUP takes the settings in again and does not end the process, even if they cannot be used", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		reloads := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			awaitStop(ctx, log.NewNopLogger(), catchHangups(), func() []byte { return nil }, func() error {
				reloads <- struct{}{}
				return errors.New("unusable")
			})
		}()
		for range 2 {
			hangUpUntil(t, reloads)
		}
		cancel()
		<-done
	})
}

// hangUpUntil sends SIGHUP until the settings are reloaded; the handler may not be in place at first.
func hangUpUntil(t *testing.T, reloads <-chan struct{}) {
	t.Helper()
	signals := make(chan os.Signal, 1)
	ignoreHangup(t, signals)
	for {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-reloads:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// ignoreHangup keeps a SIGHUP that comes before the handler from ending the test.
func ignoreHangup(t *testing.T, signals chan os.Signal) {
	t.Helper()
	signal.Notify(signals, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(signals) })
}

// The platform may change the settings file without a signal.
func TestChangedFileReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var content atomic.Pointer[[]byte]
		first, second := []byte("a"), []byte("b")
		content.Store(&first)
		var reloads atomic.Int32
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			awaitStop(ctx, log.NewNopLogger(), catchHangups(), func() []byte { return *content.Load() }, func() error {
				reloads.Add(1)
				return nil
			})
		}()
		Convey("A file that stays is not read into the process, one that changes is, once", t, func() {
			time.Sleep(time.Minute)
			So(reloads.Load(), ShouldEqual, 0)
			content.Store(&second)
			time.Sleep(3 * time.Second)
			So(reloads.Load(), ShouldEqual, 1)
			time.Sleep(time.Minute)
			So(reloads.Load(), ShouldEqual, 1)
		})
		cancel()
		<-done
	})
}
