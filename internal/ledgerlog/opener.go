// Package ledgerlog keeps the sample ledgers of the batch owners in replicated logs: one quorumlog for each ledger, on the
// keepers of the zones that its pool permits.
//
// An append returns once a majority of the replicas has it on disk, or in memory where there is no disk. A new owner finds
// the log by asking the nodes of the permitted zones, recovers all that was ever committed, and fences the owner before it.
package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/rollout"
	"github.com/covelink/covelink/internal/rpc"
)

const (
	replicas = 3
	// patience is how long an opening waits for a majority, and a creation for every node.
	patience = 3 * time.Second
	// retryAfter is how long a node may take to answer one message.
	retryAfter = time.Second
	// roundBits is where Epoch.Opening holds the count of openings; random bits below it make it unique.
	roundBits = 32
)

// Errors of the logs, beside rollout.ErrFenced. All wrap the error of package quorumlog that caused them.
var (
	// ErrLost reports a ledger of which a majority of the replicas lost its storage. It is never taken for a new one.
	ErrLost = errors.New("ledgerlog: ledger lost")
	// ErrUnavailable reports that no majority of the replicas answers, or, for a new ledger, too few of the nodes.
	ErrUnavailable = errors.New("ledgerlog: replicas not reached")
	// ErrTooSlow reports an append that was not committed in time. It may be kept or not.
	ErrTooSlow = errors.New("ledgerlog: not committed in time")
)

// Params are what an Opener works with.
type Params struct {
	Self   cluster.Node
	Source cluster.Source
	// Seeds are nodes known beside those of the view.
	Seeds  []cluster.Node
	Client *rpc.Client
	// Local answers for the node itself.
	Local  *keeper.Keeper
	Logger log.Logger
	// ReplaceAfter is how long a replica may be silent before another node takes its place; zero means 30s.
	ReplaceAfter time.Duration
	// CommitTimeout bounds an append; zero means 10s.
	CommitTimeout time.Duration
}

// Opener opens ledger logs. It implements rollout.LogOpener and is safe for concurrent use.
type Opener struct {
	params Params
	logger log.Logger

	mu     sync.Mutex
	opened map[string]*openLog // the last opening of each log in this process
}

const (
	defaultReplaceAfter  = 30 * time.Second
	defaultCommitTimeout = 10 * time.Second
)

// New returns an Opener.
func New(params Params) *Opener {
	if params.ReplaceAfter <= 0 {
		params.ReplaceAfter = defaultReplaceAfter
	}
	if params.CommitTimeout <= 0 {
		params.CommitTimeout = defaultCommitTimeout
	}
	return &Opener{params: params, logger: params.Logger, opened: make(map[string]*openLog)}
}

// Open implements rollout.LogOpener. The log lives until ctx ends or it is opened again. ErrLost, ErrUnavailable,
// rollout.ErrFenced, or the error of ctx.
func (o *Opener) Open(ctx context.Context, name string, term leadership.Term, zones []string) (rollout.Log, error) {
	round := uint64(1)
	for {
		l := newOpenLog(ctx, o, name, term, zones, round)
		o.replace(name, l)
		err := l.awaitServing(ctx)
		if err == nil {
			level.Info(o.logger).Log("msg", "ledger opened", "log", name, "token", term.Token, "replicas", fmt.Sprint(l.Info().Replicas))
			return l, nil
		}
		l.close()
		// An owner of this very term that ended, perhaps in a process before, is followed and not obeyed.
		var fenced *quorumlog.FencedError
		if !errors.As(err, &fenced) || fenced.Promised.Token != term.Token || ctx.Err() != nil {
			return nil, err
		}
		round = fenced.Promised.Opening>>roundBits + 1
	}
}

// replace ends the log's earlier opening in this process.
func (o *Opener) replace(name string, l *openLog) {
	o.mu.Lock()
	earlier := o.opened[name]
	o.opened[name] = l
	o.mu.Unlock()
	if earlier != nil {
		earlier.close()
	}
}

// Close ends every log and waits for their goroutines.
func (o *Opener) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, l := range o.opened {
		l.close()
	}
}

func newEpoch(token, round uint64) quorumlog.Epoch {
	return quorumlog.Epoch{Token: token, Opening: round<<roundBits | uint64(rand.Uint32())}
}

// mapped adds the meaning that a writer's error has to an owner.
func mapped(err error) error {
	switch {
	case errors.Is(err, quorumlog.ErrFenced):
		return fmt.Errorf("%w: %w", rollout.ErrFenced, err)
	case errors.Is(err, quorumlog.ErrLost):
		return fmt.Errorf("%w: %w", ErrLost, err)
	case errors.Is(err, quorumlog.ErrUnavailable):
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}
