package decommission_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/decommission"
)

func TestDecommission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var reported []string
		failures := 2
		manager := decommission.New("self", func(_ context.Context, request decommission.Request) error {
			mu.Lock()
			defer mu.Unlock()
			if failures > 0 {
				failures--
				return errors.New("no answer")
			}
			reported = append(reported, request.Node)
			return nil
		}, log.NewNopLogger())
		ctx, cancel := context.WithCancel(t.Context())
		var leading sync.WaitGroup
		leading.Go(func() { manager.Lead(ctx) })
		Convey("Reports for other machines are retried until they succeed; this machine and done requests are not reported", t, func() {
			So(manager.MayCoordinate(), ShouldBeTrue)
			manager.SetRequests(map[string]decommission.Request{
				"other": {Node: "other"},
				"done":  {Node: "done", Done: true},
				"self":  {Node: "self"},
			})
			So(manager.MayCoordinate(), ShouldBeFalse)
			time.Sleep(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			So(reported, ShouldResemble, []string{"other"})
		})
		cancel()
		leading.Wait()
	})
}
