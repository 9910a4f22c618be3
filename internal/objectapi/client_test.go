package objectapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	lab "github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/objectapi"
)

const testDeadline = 10 * time.Second

func zone(name string) v1.RawObject {
	return v1.RawObject{
		Kind:     v1.KindZone,
		Metadata: v1.ObjectMeta{Name: name},
		Spec:     json.RawMessage(`{"region":"bne"}`),
	}
}

// startStore returns a stand-in, its client and a context that bounds the test.
func startStore(t *testing.T, config lab.Config) (*lab.Server, *objectapi.Client, context.Context) {
	config.Listen = "127.0.0.1:0"
	server := lab.New(config, log.NewLogfmtLogger(io.Discard))
	So(server.Start(), ShouldBeNil)
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	t.Cleanup(cancel)
	return server, objectapi.NewClient(objectapi.Config{BaseURL: server.URL()}), ctx
}

func TestWrites(t *testing.T) {
	Convey("Given a store", t, func() {
		server, client, ctx := startStore(t, lab.Config{})

		Convey("a create whose reply is lost is found by its write ID", func() {
			server.SetFaults(lab.Faults{LoseReplies: 1})
			stored, err := client.Create(ctx, zone("a"))
			So(err, ShouldBeNil)
			So(stored.Metadata.ResourceVersion, ShouldEqual, "1")
			So(server.Store.Revision(), ShouldEqual, 1)
		})

		Convey("an update and a delete whose replies are lost take effect once", func() {
			stored, err := client.Create(ctx, zone("a"))
			So(err, ShouldBeNil)
			server.SetFaults(lab.Faults{LoseReplies: 1})
			stored, err = client.Update(ctx, stored)
			So(err, ShouldBeNil)
			So(stored.Metadata.ResourceVersion, ShouldEqual, "2")
			server.SetFaults(lab.Faults{LoseReplies: 1})
			So(client.Delete(ctx, v1.KindZone, "a", ""), ShouldBeNil)
			So(server.Store.Revision(), ShouldEqual, 3)
		})

		Convey("a lost update that was overwritten since is not called done or undone", func() {
			stored, err := client.Create(ctx, zone("a"))
			So(err, ShouldBeNil)
			server.SetFaults(lab.Faults{LoseReplies: 1})
			racing := objectapi.NewClient(objectapi.Config{
				BaseURL: server.URL(),
				HTTP:    &http.Client{Transport: overwriter{store: server.Store}},
			})
			_, err = racing.Update(ctx, stored)
			So(errors.Is(err, objectapi.ErrUnknown), ShouldBeTrue)
		})

		Convey("an old resourceVersion and a name that exists are conflicts, a missing name is not found", func() {
			stored, err := client.Create(ctx, zone("a"))
			So(err, ShouldBeNil)
			_, err = client.Create(ctx, zone("a"))
			So(errors.Is(err, objectapi.ErrConflict), ShouldBeTrue)
			_, err = client.Update(ctx, stored)
			So(err, ShouldBeNil)
			_, err = client.Update(ctx, stored)
			So(errors.Is(err, objectapi.ErrConflict), ShouldBeTrue)
			So(errors.Is(client.Delete(ctx, v1.KindZone, "b", ""), objectapi.ErrNotFound), ShouldBeTrue)
		})

		Convey("two writers that race by read, change and conditional update lose nothing", func() {
			const writers, rounds = 2, 20
			_, err := client.Create(ctx, zone("a"))
			So(err, ShouldBeNil)
			var group sync.WaitGroup
			failures := make(chan error, writers)
			for range writers {
				group.Go(func() { failures <- addRounds(ctx, client, rounds) })
			}
			group.Wait()
			for range writers {
				So(<-failures, ShouldBeNil)
			}
			final, err := client.Get(ctx, v1.KindZone, "a")
			So(err, ShouldBeNil)
			So(final.Metadata.Generation, ShouldEqual, writers*rounds)
		})

		Convey("a store that refuses connections or answers 503 has executed nothing", func() {
			outages := map[string]func(){
				"503":     func() { server.SetFaults(lab.Faults{Unavailable: true}) },
				"refused": server.Stop,
			}
			for name, begin := range outages {
				begin()
				ending, cancel := context.WithCancel(ctx)
				transport := &givingUp{attempts: 3, cancel: cancel}
				failing := objectapi.NewClient(objectapi.Config{
					BaseURL: server.URL(),
					HTTP:    &http.Client{Transport: transport},
				})
				_, err := failing.Create(ending, zone(name))
				So(errors.Is(err, objectapi.ErrUnavailable), ShouldBeTrue)
				So(errors.Is(err, objectapi.ErrUnknown), ShouldBeFalse)
				So(transport.attempts, ShouldEqual, 0)
			}
			So(server.Store.Revision(), ShouldEqual, 0)
		})

		Convey("a write waits for the store to come back", func() {
			server.Stop()
			result := make(chan error, 1)
			go func() {
				_, err := client.Create(ctx, zone("a"))
				result <- err
			}()
			So(server.Start(), ShouldBeNil)
			So(<-result, ShouldBeNil)
			So(server.Store.Revision(), ShouldEqual, 1)
		})
	})
}

// overwriter writes the object "a" as another writer whenever a reply has been lost.
type overwriter struct{ store *lab.Store }

func (o overwriter) RoundTrip(request *http.Request) (*http.Response, error) {
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		return answer, nil
	}
	current, getErr := o.store.Get(v1.KindZone, "a")
	if getErr != nil {
		return nil, getErr
	}
	current.Metadata.WriteID = "another"
	_, updateErr := o.store.Update(current)
	return nil, errors.Join(err, updateErr)
}

// givingUp ends the caller's context after so many answers or refusals.
type givingUp struct {
	http.Transport
	attempts int
	cancel   context.CancelFunc
}

func (g *givingUp) RoundTrip(request *http.Request) (*http.Response, error) {
	answer, err := g.Transport.RoundTrip(request)
	g.attempts--
	if g.attempts == 0 {
		g.cancel()
	}
	return answer, err
}

// addRounds adds to the object's generation, retrying on conflicts.
func addRounds(ctx context.Context, client *objectapi.Client, rounds int) error {
	for done := 0; done < rounds; {
		object, err := client.Get(ctx, v1.KindZone, "a")
		if err != nil {
			return err
		}
		object.Metadata.Generation++
		_, err = client.Update(ctx, object)
		switch {
		case err == nil:
			done++
		case !errors.Is(err, objectapi.ErrConflict):
			return err
		}
	}
	return nil
}

// recorder is a Sink that keeps the objects and checks the order.
type recorder struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	wentBack bool
	lists    int
	objects  map[string]bool
}

func newRecorder() *recorder {
	return &recorder{changed: make(chan struct{}, 1), objects: make(map[string]bool)}
}

func (r *recorder) Replace(list objectapi.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	clear(r.objects)
	for _, object := range list.Items {
		r.objects[object.Metadata.Name] = true
	}
	r.advance(list.Revision)
}

func (r *recorder) Apply(event objectapi.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects[event.Object.Metadata.Name] = event.Type != objectapi.EventDeleted
	r.advance(event.Revision)
}

func (r *recorder) advance(revision uint64) {
	r.wentBack = r.wentBack || revision < r.revision
	r.revision = revision
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// waitFor waits until the recorder is at the revision.
func (r *recorder) waitFor(ctx context.Context, revision uint64) {
	for {
		r.mu.Lock()
		reached := r.revision >= revision
		r.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
			So(ctx.Err(), ShouldBeNil)
		}
	}
}

func TestFollow(t *testing.T) {
	Convey("Given a follower of a store", t, func() {
		server, client, ctx := startStore(t, lab.Config{History: 4, BookmarkInterval: 5 * time.Millisecond})
		following, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		sink := newRecorder()
		follow := func(since uint64) {
			go func() {
				defer close(ended)
				client.Follow(following, since, sink)
			}()
		}
		Reset(func() {
			stop()
			<-ended
			So(sink.wentBack, ShouldBeFalse)
		})
		create := func(name string) {
			_, err := server.Store.Create(zone(name))
			So(err, ShouldBeNil)
		}

		Convey("it sees what there is and what changes", func() {
			create("a")
			follow(0)
			sink.waitFor(ctx, 1)
			create("b")
			So(server.Store.Delete(v1.KindZone, "a", ""), ShouldBeNil)
			sink.waitFor(ctx, 3)
			So(sink.objects, ShouldResemble, map[string]bool{"a": false, "b": true})
		})

		Convey("it lists again when its position has been compacted during an outage", func() {
			create("a")
			follow(0)
			sink.waitFor(ctx, 1)
			server.Stop()
			create("b")
			So(server.Store.Delete(v1.KindZone, "a", ""), ShouldBeNil)
			server.SetFaults(lab.Faults{Compact: true})
			So(server.Start(), ShouldBeNil)
			sink.waitFor(ctx, 3)
			So(sink.lists, ShouldEqual, 2)
			So(sink.objects, ShouldResemble, map[string]bool{"b": true})
		})

		Convey("it refuses a list older than what it knows until the store has caught up", func() {
			create("a")
			create("b")
			create("c")
			server.SetFaults(lab.Faults{StaleBy: 2})
			follow(3)
			for server.Counts().Lists < 3 {
				So(ctx.Err(), ShouldBeNil)
				time.Sleep(time.Millisecond)
			}
			So(sink.lists, ShouldEqual, 0)
			server.SetFaults(lab.Faults{})
			sink.waitFor(ctx, 3)
			So(len(sink.objects), ShouldEqual, 3)
		})

		Convey("it drops events that a lagging watch repeats", func() {
			create("a")
			create("b")
			follow(0)
			sink.waitFor(ctx, 2)
			server.Stop()
			server.SetFaults(lab.Faults{StaleBy: 2})
			So(server.Start(), ShouldBeNil)
			create("c")
			sink.waitFor(ctx, 3)
			So(len(sink.objects), ShouldEqual, 3)
		})
	})
}
