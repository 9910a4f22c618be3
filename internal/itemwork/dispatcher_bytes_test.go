package itemwork

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/fleet"
	"github.com/covelink/covelink/internal/placement"
)

// All assignments of a worker stood in one reply, which took many times its size to encode and could not be sent above the size of a message.
func TestAssignmentsOfManyBytes(t *testing.T) {
	const assignments, bodyBytes = 30, 300 << 10
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		dispatcher := NewDispatcher(log.NewNopLogger())
		done := make(chan struct{})
		go func() {
			defer close(done)
			dispatcher.Lead(ctx, 7, &lostWorkers{}, alwaysReady)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(time.Millisecond)
		Convey("They come in replies of bounded size, each once it is asked for, in their order", t, func() {
			worker := WorkerID{Name: "w", Zone: "z", Instance: "first"}
			reply := dispatcher.Poll(t.Context(), PollRequest{Worker: worker})
			engine := &fleet.Engine{ID: "e", Zone: "z"}
			for number := range assignments {
				_, ok := dispatcher.Assign(placement.Residency{}, engine, &Assignment{Item: fmt.Sprint(number), Body: make([]byte, bodyBytes)})
				So(ok, ShouldBeTrue)
			}
			var items []string
			for len(items) < assignments {
				taken := uint64(0)
				if count := len(reply.Orders); count > 0 {
					taken = reply.Orders[count-1].Number
				}
				began := time.Now()
				reply = dispatcher.Poll(t.Context(), PollRequest{Worker: worker, Term: reply.Term, Taken: taken})
				So(time.Since(began), ShouldEqual, 0)
				So(len(reply.Orders), ShouldBeBetweenOrEqual, 1, maxReplyBytes/bodyBytes)
				for _, order := range reply.Orders {
					items = append(items, order.Start.Item)
				}
			}
			for number, item := range items {
				So(item, ShouldEqual, fmt.Sprint(number))
			}
		})
		Convey("One that is larger by itself comes alone", t, func() {
			orders := firstOf([]Order{{Start: &Assignment{Body: make([]byte, 2*maxReplyBytes)}}, {Cancel: RunID{}}})
			So(orders, ShouldHaveLength, 1)
		})
	})
}
