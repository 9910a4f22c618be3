package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/covelink/covelink/internal/election"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
	"github.com/covelink/covelink/internal/quarantine"
)

// term is a coordinator that leads until end is called.
type term struct {
	*quarantine.Coordinator
	end func()
}

func lead(store metastore.Client) *term {
	ctx, cancel := context.WithCancel(context.Background())
	coordinator := quarantine.NewCoordinator(quarantine.CoordinatorParams{
		Table:   quarantine.NewTable(time.Now),
		Store:   store,
		Leading: func() bool { return ctx.Err() == nil },
		Logger:  log.NewNopLogger(),
	})
	var leading sync.WaitGroup
	leading.Go(func() { coordinator.Lead(ctx) })
	return &term{Coordinator: coordinator, end: func() { cancel(); leading.Wait() }}
}

func (s *term) hold(of quarantine.Fingerprint) {
	for i := range 3 {
		s.Table.RecordCrash(of, fmt.Sprint("engine-", i))
	}
}

// unwritable is a store whose writes fail.
type unwritable struct{ metastore.Client }

var errStoreUnavailable = errors.New("store unavailable")

func (unwritable) Create(context.Context, string, metastore.Object) (metastore.Object, error) {
	return metastore.Object{}, errStoreUnavailable
}

func (unwritable) Replace(context.Context, string, metastore.Object) (metastore.Object, error) {
	return metastore.Object{}, errStoreUnavailable
}

func TestCoordinator(t *testing.T) {
	bad, other := fingerprint("bad"), fingerprint("other")
	t.Run("held requests and their trials survive the loss of all processes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := metastoretest.New()
			first := lead(store.Client())
			first.hold(bad)
			time.Sleep(3 * time.Second)
			if reply := first.GrantTrial(t.Context(), bad, ""); !reply.Granted {
				t.Errorf("no trial after 3 s: %+v", reply)
			}
			first.end()
			second := lead(store.Client())
			defer second.end()
			time.Sleep(time.Second)
			status := second.Table.Status(bad)
			if status.State != quarantine.Held || status.Wait < 25*time.Second {
				t.Errorf("state %v, next trial after %v", status.State, status.Wait)
			}
		})
	})
	t.Run("a trial is granted once, however many processes ask", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(metastoretest.New().Client())
			defer leader.end()
			leader.hold(bad)
			time.Sleep(3 * time.Second)
			granted := 0
			for range 7 {
				if leader.HandleTrial(t.Context(), quarantine.TrialRequest{Known: leader.Table.Record(bad)}).Granted {
					granted++
				}
			}
			if granted != 1 {
				t.Errorf("granted %d times", granted)
			}
		})
	})
	t.Run("trials of two held requests do not overlap", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(metastoretest.New().Client())
			defer leader.end()
			leader.hold(bad)
			leader.hold(other)
			time.Sleep(3 * time.Second)
			if !leader.GrantTrial(t.Context(), bad, "").Granted {
				t.Error("no trial for the first request")
			}
			if reply := leader.GrantTrial(t.Context(), other, ""); reply.Granted || reply.Wait <= 0 {
				t.Errorf("trial granted while the first was running: %+v", reply)
			}
			leader.Table.RecordCrash(bad, "engine-3")
			if !leader.GrantTrial(t.Context(), other, "").Granted {
				t.Error("no trial after the first had its outcome")
			}
		})
	})
	t.Run("a trial that runs on without an outcome does not delay that of another request beyond the spacing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(metastoretest.New().Client())
			defer leader.end()
			leader.hold(bad)
			leader.hold(other)
			time.Sleep(3 * time.Second)
			leader.GrantTrial(t.Context(), bad, "")
			time.Sleep(500 * time.Millisecond)
			if !leader.GrantTrial(t.Context(), other, "").Granted {
				t.Error("no trial for the other request")
			}
		})
	})
	t.Run("a trial whose grant did not reach its caller is returned by the ID of the call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(metastoretest.New().Client())
			defer leader.end()
			leader.hold(bad)
			time.Sleep(3 * time.Second)
			call := quarantine.TrialRequest{Known: leader.Table.Record(bad), ID: "call"}
			if leader.HandleReturn(quarantine.ReturnRequest{ID: call.ID}).Known {
				t.Error("a call that has not arrived is known")
			}
			leader.HandleTrial(t.Context(), call)
			if !leader.HandleReturn(quarantine.ReturnRequest{ID: call.ID}).Known {
				t.Error("the call is unknown")
			}
			if wait := leader.Table.Status(bad).Wait; wait > time.Second {
				t.Errorf("next trial after %v", wait)
			}
		})
	})
	t.Run("a trial is returned to the coordinator of the next term", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := metastoretest.New()
			first := lead(store.Client())
			first.hold(bad)
			time.Sleep(3 * time.Second)
			granted := first.GrantTrial(t.Context(), bad, "call")
			first.end()
			second := lead(store.Client())
			defer second.end()
			time.Sleep(time.Second)
			if !second.HandleReturn(quarantine.ReturnRequest{ID: "call", Trial: granted.Trial}).Known {
				t.Error("the trial is unknown")
			}
			if wait := second.Table.Status(bad).Wait; wait > 2*time.Second {
				t.Errorf("next trial after %v", wait)
			}
		})
	})
	t.Run("a trial that the store does not record is neither granted nor counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(unwritable{metastoretest.New().Client()})
			defer leader.end()
			leader.hold(bad)
			time.Sleep(3 * time.Second)
			if leader.GrantTrial(t.Context(), bad, "").Granted {
				t.Error("granted")
			}
			if record := leader.Table.Record(bad); record.Trials != 0 {
				t.Errorf("%d trials recorded", record.Trials)
			}
		})
	})
	t.Run("a process whose term has ended grants nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			leader := lead(metastoretest.New().Client())
			leader.hold(bad)
			time.Sleep(3 * time.Second)
			leader.end()
			if reply := leader.GrantTrial(t.Context(), bad, ""); reply.Granted || reply.Leading {
				t.Errorf("%+v", reply)
			}
		})
	})
	t.Run("of two processes that both believe that they lead, one grants", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := metastoretest.New()
			first, second := lead(store.Client()), lead(store.Client())
			defer first.end()
			defer second.end()
			first.hold(bad)
			time.Sleep(time.Second)
			second.Table.Merge(first.Table.List())
			time.Sleep(2 * time.Second)
			granted := 0
			for _, leader := range []*term{first, second, first, second} {
				if leader.GrantTrial(t.Context(), bad, "").Granted {
					granted++
				}
			}
			if granted != 1 {
				t.Errorf("granted %d times", granted)
			}
		})
	})
}

func TestReporter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		current := election.Term{Address: "first", Token: 1}
		sent := make(map[election.Term][]quarantine.Record)
		attempts := 0
		table := quarantine.NewTable(time.Now)
		reporter := quarantine.NewReporter(quarantine.ReporterParams{
			Table: table,
			Coordinator: func() election.Term {
				mu.Lock()
				defer mu.Unlock()
				return current
			},
			Send: func(_ context.Context, _ string, request quarantine.TellRequest) (quarantine.TellReply, error) {
				mu.Lock()
				defer mu.Unlock()
				attempts++
				if attempts == 1 {
					return quarantine.TellReply{}, errStoreUnavailable
				}
				sent[current] = append(sent[current], request.Records...)
				return quarantine.TellReply{Leading: true}, nil
			},
			Logger: log.NewNopLogger(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { reporter.Run(ctx) })
		time.Sleep(time.Second)
		table.RecordCrash(fingerprint("found"), "engine-0")
		table.Merge([]quarantine.Record{{Fingerprint: fingerprint("learnt"), Engines: []string{"engine-1"}}})
		time.Sleep(time.Second)
		mu.Lock()
		if len(sent[current]) != 1 || sent[current][0].Fingerprint != fingerprint("found") {
			t.Errorf("sent to the first coordinator: %+v", sent[current])
		}
		current = election.Term{Address: "second", Token: 2}
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		if len(sent[current]) != 2 {
			t.Errorf("sent to the second coordinator: %+v", sent[current])
		}
		mu.Unlock()
		cancel()
		running.Wait()
	})
}
