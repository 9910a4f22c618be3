package keeper

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	// maxMemory bounds the logs of a node without a data folder, in bytes.
	maxMemory = 256 << 20
	// retention is how long a log is kept that the configuration does not permit here any more.
	retention     = 10 * time.Minute
	sweepInterval = time.Minute
)

// Request carries a message to the replica of a log, whose data may be in the Zones only.
type Request struct {
	Log     string
	Zones   []string
	Message quorumlog.Request
}

// Reply answers a Request. What the message promises is durable.
type Reply struct {
	Message quorumlog.Reply
	HasDisk bool
}

// Discard asks a node that is no member of the log any more to delete its copy. Epoch is the writer's.
type Discard struct {
	Log   string
	Epoch quorumlog.Epoch
}

// Discarded answers a Discard.
type Discarded struct{ Done bool }

// Params are what a Keeper works with.
type Params struct {
	Self       cluster.Node
	Source     cluster.Source
	Node       settings.Node
	Logger     log.Logger
	Registerer prometheus.Registerer
}

// Keeper keeps replicas of logs. It is safe for concurrent use.
type Keeper struct {
	params  Params
	logger  log.Logger
	metrics *metrics
	disk    *Disk
	memory  *memory

	mu   sync.Mutex
	logs map[string]*keptLog
	gone map[string]time.Time // since when the log is not permitted here
}

// keptLog is one replica. Its lock is held while a message is handled and made durable.
type keptLog struct {
	mu      sync.Mutex
	replica *quorumlog.Replica
}

// New opens the data folder. ErrFormat, ErrLocked, or an error of the file system.
func New(params Params) (*Keeper, error) {
	k := &Keeper{
		params: params, logger: params.Logger, metrics: newMetrics(params.Registerer),
		logs: make(map[string]*keptLog), gone: make(map[string]time.Time),
	}
	if params.Node.DataDir == "" {
		k.memory = newMemory(min(params.Node.DataLimitBytes, maxMemory))
		return k, nil
	}
	disk, err := OpenDisk(params.Node.DataDir, params.Node.DataLimitBytes)
	if err != nil {
		return nil, err
	}
	k.disk = disk
	if disk.SetAside {
		k.metrics.corrupt.Inc()
		level.Error(k.logger).Log("msg", "database unreadable, set aside: its replicas are lost")
	}
	return k, nil
}

// Close closes the data folder. Requests must have ended.
func (k *Keeper) Close() error {
	if k.disk == nil {
		return nil
	}
	return k.disk.Close()
}

// Register makes the server answer requests to this node's replicas.
func (k *Keeper) Register(server *rpc.Server) {
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request Request) (Reply, error) { return k.Step(request) })
	rpc.Handle(server, func(_ context.Context, _ rpc.Peer, request Discard) (Discarded, error) { return k.discard(request) })
}

// Run deletes the logs that the configuration has ceased to permit here, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.sweep(now)
		}
	}
}

// Step handles a message. The error is a *v1.Error: v1.CodeForbidden if the log may not be in this node's zone.
func (k *Keeper) Step(request Request) (Reply, error) {
	if !k.permitted(request.Log, request.Zones) {
		k.metrics.refused.WithLabelValues(refusedZone).Inc()
		return Reply{}, &v1.Error{Code: v1.CodeForbidden, Message: "log is not permitted in zone " + k.params.Self.Zone}
	}
	kept := k.kept(request.Log)
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := k.ensure(request.Log, kept); err != nil {
		return Reply{}, &v1.Error{Code: v1.CodeUnavailable, Message: "log storage unavailable"}
	}
	reply := kept.replica.Step(request.Message)
	if reply.Status == quorumlog.StatusFull {
		k.metrics.refused.WithLabelValues(refusedFull).Inc()
	}
	if kept.replica.Broken() {
		k.reportCorrupt(request.Log)
	}
	return Reply{Message: reply, HasDisk: k.disk != nil}, nil
}

// permitted asks this node's own view: the sender's may be older.
func (k *Keeper) permitted(name string, zones []string) bool {
	trainer, ok := strings.CutPrefix(name, leadership.TrainerLease(""))
	if !ok || !slices.Contains(zones, k.params.Self.Zone) {
		return false
	}
	view := k.params.Source.Current()
	t, ok := view.Trainers[trainer]
	return ok && view.Permitted(t.Spec.Pool, k.params.Self.Zone)
}

func (k *Keeper) kept(name string) *keptLog {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept, ok := k.logs[name]
	if !ok {
		kept = &keptLog{}
		k.logs[name] = kept
		k.metrics.logs.Set(float64(len(k.logs)))
	}
	return kept
}

// ensure loads the replica. A corrupt copy is deleted: the replica starts empty under a new incarnation, which no member
// set names, so that it counts only after it has rejoined.
func (k *Keeper) ensure(name string, kept *keptLog) error {
	if kept.replica != nil && !kept.replica.Broken() {
		return nil
	}
	broken := kept.replica != nil
	kept.replica = nil
	if !broken {
		replica, err := quorumlog.NewReplica(k.storage(name), newIncarnation())
		if err == nil {
			kept.replica = replica
			return nil
		}
		if !errors.Is(err, quorumlog.ErrCorrupt) {
			return err
		}
		k.reportCorrupt(name)
	}
	if err := k.remove(name); err != nil {
		return err
	}
	replica, err := quorumlog.NewReplica(k.storage(name), newIncarnation())
	kept.replica = replica
	return err
}

func (k *Keeper) reportCorrupt(name string) {
	k.metrics.corrupt.Inc()
	level.Error(k.logger).Log("msg", "replica failed its checks, taken for lost", "log", name)
}

func (k *Keeper) storage(name string) quorumlog.Storage {
	if k.disk != nil {
		return k.disk.Log(name)
	}
	return k.memory.log(name)
}

func (k *Keeper) remove(name string) error {
	if k.disk != nil {
		return k.disk.Remove(name)
	}
	k.memory.remove(name)
	return nil
}

// discard deletes a copy unless a higher epoch has been promised since.
func (k *Keeper) discard(request Discard) (Discarded, error) {
	kept := k.kept(request.Log)
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := k.ensure(request.Log, kept); err != nil {
		return Discarded{}, &v1.Error{Code: v1.CodeUnavailable, Message: "log storage unavailable"}
	}
	if request.Epoch.Compare(kept.replica.Promised()) < 0 {
		return Discarded{}, nil
	}
	return Discarded{Done: k.delete(request.Log, kept) == nil}, nil
}

// delete deletes a log; the caller holds its lock.
func (k *Keeper) delete(name string, kept *keptLog) error {
	kept.replica = nil
	return k.remove(name)
}

// sweep deletes the logs that were not permitted here for the retention: their trainer is gone, or its pool was moved to
// other zones. A node without a configuration deletes none.
func (k *Keeper) sweep(now time.Time) {
	view := k.params.Source.Current()
	if view.Revision == 0 || !view.ServingAt(now) {
		return
	}
	for _, name := range k.names() {
		if k.permitted(name, []string{k.params.Self.Zone}) {
			k.setGone(name, time.Time{})
			continue
		}
		if since := k.setGone(name, now); now.Sub(since) >= retention {
			k.sweepLog(name)
			k.setGone(name, time.Time{})
		}
	}
}

func (k *Keeper) sweepLog(name string) {
	kept := k.kept(name)
	kept.mu.Lock()
	defer kept.mu.Unlock()
	if err := k.delete(name, kept); err != nil {
		level.Warn(k.logger).Log("msg", "log not deleted", "log", name, "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "deleted a log that is not permitted here any more", "log", name)
}

// names returns the logs in memory and in the data folder.
func (k *Keeper) names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var names []string
	if k.disk != nil {
		names, _ = k.disk.Names()
	}
	for name := range k.logs {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// setGone notes since when a log is not permitted; the zero time says that it is. It returns the first such time.
func (k *Keeper) setGone(name string, now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.IsZero() {
		delete(k.gone, name)
		return now
	}
	if _, ok := k.gone[name]; !ok {
		k.gone[name] = now
	}
	return k.gone[name]
}

// newIncarnation returns a random number other than 0.
func newIncarnation() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:]) // never fails
	return binary.BigEndian.Uint64(data[:]) | 1
}
