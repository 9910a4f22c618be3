package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	v1 "github.com/covelink/covelink/api/v1"

	"github.com/covelink/covelink/api/enginev1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/dispatch"
	"github.com/covelink/covelink/internal/engine"
	"github.com/covelink/covelink/internal/settings"
)

// instantClient is an EngineClient that completes every attempt immediately.
type instantClient struct{}

func (instantClient) Stream(
	_ context.Context, _ engine.Target, _ enginev1.CompletionRequest, _ func(engine.Chunk) error,
) engine.StreamResult {
	return engine.StreamResult{Outcome: v1.OutcomeCompleted}
}

func (instantClient) Cancel(context.Context, string, enginev1.CancelRequest) error { return nil }

// BenchmarkDispatch measures the overhead of the Manager per attempt.
func BenchmarkDispatch(b *testing.B) {
	for _, engines := range []int{10, 61, 610} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			view := &cluster.View{
				Serving: true,
				Zones:   map[string]*v1.Zone{"a": {}},
				Pools:   map[string]*v1.Pool{"pool": {Spec: v1.PoolSpec{PermittedZones: []string{"a"}, MaxConcurrent: 16}}},
			}
			for index := range engines {
				view.Engines = append(view.Engines, cluster.Engine{
					Name: fmt.Sprintf("e%04d", index), Pool: "pool", Zone: "a", Incarnation: "1", ActiveVersion: 1,
				})
			}
			holder := cluster.NewHolder()
			holder.Update(func(*cluster.View) *cluster.View { return view })
			manager := dispatch.New(dispatch.Params{
				Source: holder, Self: cluster.Node{Zone: "a"}, Engines: instantClient{}, Limits: settings.Default().Limits,
			})
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				manager.Run(ctx)
			}()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					manager.Dispatch(ctx, dispatch.Task{
						RequestID: "r", Class: dispatch.ClassInteractive, Pool: "pool", Caller: "app", PrefixKey: 3,
						Deadline: time.Now().Add(time.Minute),
					}, nil)
				}
			})
			b.StopTimer()
			stop()
			<-done
		})
	}
}
