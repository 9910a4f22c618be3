package ledgerlog

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/keeper"
	"github.com/covelink/covelink/internal/rpc"
)

// tending is the state of the care for a log's replicas.
type tending struct {
	since    time.Time // when the change under way, or the opening, began
	changing bool
	out, in  string
	skip     map[string]time.Time // nodes that did not catch up, until when they are passed over
}

// tend brings the replicas towards what is wanted, one change at a time: members that lost their storage rejoin, those
// that are silent for long or not permitted any more are replaced, and a short set grows. The caller holds the lock.
func (l *openLog) tend(now time.Time) {
	if !l.writer.Serving() || l.ctx.Err() != nil {
		return
	}
	if l.writer.Changing() {
		if now.Sub(l.tended.since) > l.opener.params.ReplaceAfter {
			l.abandon(now)
		}
		return
	}
	if l.tended.changing {
		l.finish()
	}
	out, in, wanted := l.wantedChange(now)
	if !wanted {
		return
	}
	if err := l.writer.Replace(now, out, in); err != nil {
		return
	}
	l.tended.since, l.tended.changing, l.tended.out, l.tended.in = now, true, out, in
	level.Info(l.opener.logger).Log("msg", "replacing a replica", "log", l.name, "out", out, "in", in)
}

// abandon gives up a replica that does not catch up, unless the change is logged already.
func (l *openLog) abandon(now time.Time) {
	l.writer.Abandon()
	if l.writer.Changing() {
		return
	}
	if l.tended.skip == nil {
		l.tended.skip = make(map[string]time.Time)
	}
	l.tended.skip[l.tended.in] = now.Add(l.opener.params.ReplaceAfter)
	l.tended.changing = false
	l.warn("replica did not catch up", "node", l.tended.in)
}

// finish ends a change: a node that is no member any more deletes its copy.
func (l *openLog) finish() {
	l.tended.changing = false
	out, known := l.nodes[l.tended.out]
	level.Info(l.opener.logger).Log("msg", "replicas changed", "log", l.name, "members", fmt.Sprint(l.writer.Members()))
	if known && l.tended.out != l.tended.in {
		l.work.Go(func() { l.discard(out) })
	}
}

// discard is a courtesy: a node that does not hear of it deletes the copy when its zone or trainer is not permitted.
func (l *openLog) discard(node cluster.Node) {
	ctx, cancel := context.WithTimeout(l.ctx, retryAfter)
	defer cancel()
	request := keeper.Discard{Log: l.name, Epoch: l.epoch}
	if _, err := rpc.Call[keeper.Discard, keeper.Discarded](ctx, l.opener.params.Client, node.Address, request); err != nil {
		l.warn("copy not discarded", "node", node.Name, "err", err)
	}
}

// wantedChange returns the member to replace and the node to take its place.
func (l *openLog) wantedChange(now time.Time) (out, in string, wanted bool) {
	ranked := l.refresh()
	statuses := l.writer.Status()
	spare := l.spare(now, ranked, statuses)
	for _, status := range statuses {
		if !slices.Contains(l.zones, l.nodes[status.Name].Zone) && spare != "" {
			return status.Name, spare, true
		}
		if status.Lost {
			return status.Name, status.Name, true
		}
	}
	if len(statuses) < replicas && spare != "" {
		return "", spare, true
	}
	for _, status := range statuses {
		if l.silent(now, status) && spare != "" {
			return status.Name, spare, true
		}
	}
	return "", "", false
}

func (l *openLog) silent(now time.Time, status quorumlog.ReplicaStatus) bool {
	heard := status.HeardAt
	if heard.Before(l.tended.since) {
		heard = l.tended.since
	}
	return status.Waiting && now.Sub(heard) > l.opener.params.ReplaceAfter
}

// spare returns the best node that is no member.
func (l *openLog) spare(now time.Time, ranked []string, members []quorumlog.ReplicaStatus) string {
	for _, name := range ranked {
		isMember := slices.ContainsFunc(members, func(status quorumlog.ReplicaStatus) bool { return status.Name == name })
		if !isMember && now.After(l.tended.skip[name]) {
			return name
		}
	}
	return ""
}
