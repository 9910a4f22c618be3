package ledgerlog

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/lab/objectapi"
	"github.com/covelink/covelink/internal/leadership"
	client "github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rollout"
)

const (
	benchTokens = 64
	// storeRoundTrip is the time that the object API's stand-in adds to every answer.
	storeRoundTrip = 5 * time.Millisecond
)

func benchEntry(index int) rollout.Entry {
	return rollout.SampleCommitted{
		Identity: rollout.Identity{Trainer: "t", Batch: "batch", Index: index}, Attempt: 1, Tokens: benchTokens,
		Text: strings.Repeat("text", benchTokens), FinishReason: "stop",
		Segments: []v1.Segment{{Version: 1, Engine: "engine-1", Tokens: benchTokens}},
	}
}

// BenchmarkCommit appends groups of samples to a log of three replicas, one group after the other as an owner does.
func BenchmarkCommit(b *testing.B) {
	for _, onDisk := range []bool{false, true} {
		for _, group := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("disk=%v/group=%d", onDisk, group), func(b *testing.B) {
				f := newFleet(b, onDisk, testZone, "zone-b", "zone-c")
				o := f.owner(nil, 0)
				l, err := o.open(1)
				f.must(err)
				index := 0
				counted := &frames{}
				o.client.Observer = counted
				for b.Loop() {
					entries := make([]rollout.Entry, group)
					for place := range entries {
						entries[place] = benchEntry(index)
						index++
					}
					f.must(l.Append(o.ctx, entries))
				}
				b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "samples/s")
				b.ReportMetric(float64(counted.count.Load())*float64(group)/float64(index), "frames/append")
				b.ReportMetric(float64(counted.bytes.Load())/float64(index), "wire-bytes/sample")
				b.ReportMetric(float64(groupBytes(group))/float64(group), "log-bytes/sample")
			})
		}
	}
}

// frames counts the frames of a client in both directions. It implements rpc.Observer.
type frames struct{ count, bytes atomic.Int64 }

// Frame implements rpc.Observer.
func (f *frames) Frame(_ string, _ bool, bytes int) {
	f.count.Add(1)
	f.bytes.Add(int64(bytes))
}

// groupBytes returns the bytes of a group in the log of one replica.
func groupBytes(group int) int {
	entries := make([]rollout.Entry, group)
	for index := range entries {
		entries[index] = benchEntry(index)
	}
	encoded, err := rollout.EncodeEntries(entries)
	if err != nil {
		panic(err)
	}
	return len(encoded) + 1
}

// BenchmarkOwners appends to eight logs at once, each in groups of one sample, and reports the bytes of the folders.
func BenchmarkOwners(b *testing.B) {
	const owners = 8
	for _, onDisk := range []bool{false, true} {
		b.Run(fmt.Sprintf("disk=%v", onDisk), func(b *testing.B) {
			f := newFleet(b, onDisk, testZone, "zone-b", "zone-c")
			f.view.Update(withTrainers(f.view.Current(), owners))
			var logs []rollout.Log
			o := f.owner(nil, 0)
			for number := range owners {
				name := fmt.Sprint("trainer/t", number)
				l, err := o.opener.Open(o.ctx, name, leadership.Term{Name: name, Token: 1}, []string{testZone, "zone-b", "zone-c"})
				f.must(err)
				logs = append(logs, l)
			}
			var next atomic.Int64
			b.ResetTimer()
			var appending sync.WaitGroup
			for _, l := range logs {
				appending.Go(func() {
					for index := next.Add(1); index <= int64(b.N); index = next.Add(1) {
						f.must(l.Append(o.ctx, []rollout.Entry{benchEntry(int(index))}))
					}
				})
			}
			appending.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "samples/s")
			if onDisk {
				b.ReportMetric(float64(folderBytes(b, f.members[0].folder))/float64(b.N), "file-bytes/sample")
			}
		})
	}
}

func withTrainers(view *cluster.View, count int) func(*cluster.View) *cluster.View {
	next := *view
	next.Trainers = make(map[string]*v1.Trainer)
	for number := range count {
		next.Trainers[fmt.Sprint("t", number)] = &v1.Trainer{Spec: v1.TrainerSpec{Pool: testPool}}
	}
	return func(*cluster.View) *cluster.View { return &next }
}

func folderBytes(b *testing.B, folder string) int64 {
	info, err := os.Stat(filepath.Join(folder, "ledger.db"))
	if err != nil {
		b.Fatal(err)
	}
	return info.Size()
}

// BenchmarkRecovery opens a log of 8,192 samples by a new owner: discovery, reading, fencing, decoding.
func BenchmarkRecovery(b *testing.B) {
	const samples, group = 8192, 16
	for _, onDisk := range []bool{false, true} {
		b.Run(fmt.Sprintf("disk=%v", onDisk), func(b *testing.B) {
			f := newFleet(b, onDisk, testZone, "zone-b", "zone-c")
			o := f.owner(nil, 0)
			l, err := o.open(1)
			f.must(err)
			for index := 0; index < samples; index += group {
				entries := make([]rollout.Entry, group)
				for place := range entries {
					entries[place] = benchEntry(index + place)
				}
				f.must(l.Append(o.ctx, entries))
			}
			token := uint64(1)
			for b.Loop() {
				token++
				next := f.owner(nil, 0)
				l, err := next.open(token)
				f.must(err)
				if found := next.recovered(b, l); len(found) != samples {
					b.Fatal("recovered ", len(found))
				}
				next.drop()
			}
		})
	}
}

// BenchmarkStore commits samples as objects of the platform's store, one conditional create each, at 8 and at 256 at
// once, and recovers by a list. The stand-in adds storeRoundTrip to each answer.
func BenchmarkStore(b *testing.B) {
	for _, atOnce := range []int{8, 256} {
		b.Run(fmt.Sprint("at-once=", atOnce), func(b *testing.B) {
			store := storeClient(b)
			var next atomic.Int64
			var creating sync.WaitGroup
			b.ResetTimer()
			for range atOnce {
				creating.Go(func() {
					for index := next.Add(1); index <= int64(b.N); index = next.Add(1) {
						if err := createSample(store, int(index)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			creating.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "samples/s")
		})
	}
}

// BenchmarkStoreRecovery lists 8,192 samples from the store.
func BenchmarkStoreRecovery(b *testing.B) {
	const samples = 8192
	store := storeClient(b)
	var next atomic.Int64
	var creating sync.WaitGroup
	for range 256 {
		creating.Go(func() {
			for index := next.Add(1); index <= samples; index = next.Add(1) {
				if err := createSample(store, int(index)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	creating.Wait()
	bytes := 0
	for b.Loop() {
		list, err := store.List(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		if len(list.Items) != samples {
			b.Fatal("listed ", len(list.Items))
		}
		bytes = 0
		for _, object := range list.Items {
			bytes += len(object.Spec)
		}
	}
	b.ReportMetric(float64(bytes)/samples, "spec-bytes/sample")
}

func storeClient(b *testing.B) *client.Client {
	server := objectapi.New(objectapi.Config{Listen: "127.0.0.1:0"}, log.NewNopLogger())
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Stop)
	server.SetFaults(objectapi.Faults{DelayMillis: int(storeRoundTrip.Milliseconds())})
	return client.NewClient(client.Config{BaseURL: server.URL()})
}

func createSample(store *client.Client, index int) error {
	spec, err := json.Marshal(benchEntry(index))
	if err != nil {
		return err
	}
	object := v1.RawObject{Kind: v1.KindTrainer, Metadata: v1.ObjectMeta{Name: fmt.Sprint("sample-", index)}, Spec: spec}
	_, err = store.Create(context.Background(), object)
	return err
}
