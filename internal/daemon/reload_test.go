package daemon

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"
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
			awaitStop(ctx, log.NewNopLogger(), func() error {
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
