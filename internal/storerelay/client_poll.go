package storerelay

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/boottime"
	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/quarantine"
)

// Run polls the coordinator or a relay until ctx ends. While neither answers, it polls the candidates.
func (c *Client) Run(ctx context.Context) {
	// A hub answers a poll without kinds as fresh. Polling before kinds are followed would count as a hub gained and lost.
	pause.For(ctx, firstPollDelay)
	targets := newTargetSelector(c.Name, c.Seeds)
	for ctx.Err() == nil {
		coordinator := c.Coordinator()
		address, mode := targets.selectTarget(coordinator)
		started := boottime.Now()
		reply, err := PollReply{}, error(nil)
		if address != "" {
			reply, err = c.poll(ctx, address, mode)
		}
		if ctx.Err() != nil {
			return
		}
		c.logPoll(address, reply, boottime.Since(started), err)
		if err == nil {
			err = c.applyReply(reply, targets)
		}
		if reply.Fresh && err == nil {
			targets.recordSuccess()
			c.recordConfirmations(reply, started)
			c.setRelayed(true, address, nil)
			continue
		}
		if reply.Redirect && err == nil {
			// Poll the relay immediately. Cached snapshots stay in use, as after a loss of the hub.
			if !targets.recordRedirect() {
				pause.For(ctx, retryPause)
			}
			continue
		}
		c.setRelayed(false, address, err)
		if current := c.Coordinator(); current != coordinator && current != "" {
			continue
		}
		if mode.relay {
			targets.recordRelayFailure(err == nil)
		} else {
			targets.recordFailure(boottime.Since(started))
		}
		if !mode.relay || err == nil {
			// The failure of one relay does not imply that of the next: poll that without a pause.
			pause.For(ctx, retryPause)
		}
	}
}

// slowReply is the time beyond the hub's wait from which a reply is logged although it has no changes.
const slowReply = 300 * time.Millisecond

// logPoll writes a line for a poll that failed, was slow or brought changes.
func (c *Client) logPoll(address string, reply PollReply, took time.Duration, err error) {
	switch {
	case address == "":
	case err != nil:
		level.Info(c.Logger).Log("msg", "poll failed", "hub", address, "took", took.Round(time.Millisecond), "err", err)
	case len(reply.Changes) > 0 || took-reply.Held > slowReply:
		kinds, size := make([]string, 0, len(reply.Changes)), 0
		for _, change := range reply.Changes {
			kinds, size = append(kinds, change.Kind), size+change.size()
		}
		level.Debug(c.Logger).Log("msg", "poll answered", "hub", address, "kinds", strings.Join(kinds, ","), "bytes", size, "took", took.Round(time.Millisecond),
			"held", reply.Held.Round(time.Millisecond), "age", reply.Age.Round(time.Millisecond))
	}
}

// applyReply applies everything in a reply except its freshness.
func (c *Client) applyReply(reply PollReply, targets *targetSelector) error {
	if !c.Relay {
		targets.setPeers(reply.Candidates)
	}
	c.mergeQuarantine(reply.Quarantine)
	c.applyGuidance(reply)
	if c.OnFreshReply != nil && reply.Fresh {
		c.OnFreshReply(reply)
	}
	return c.applyChanges(reply)
}

// recordConfirmations records the time as of which each kind of a reply is current. The hub received the poll after started, and answered Held later.
func (c *Client) recordConfirmations(reply PollReply, started time.Time) {
	kinds := c.subscriptions()
	for kind := range reply.Revisions {
		if sub, ok := kinds[kind]; ok {
			at := started.Add(reply.Held - reply.age(kind))
			c.recordHubConfirmed(kind, at)
			c.recordConfirmed(kind, sub.current(), at)
		}
	}
}

func (c *Client) recordHubConfirmed(kind string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.hubConfirmedAt[kind]) {
		c.hubConfirmedAt[kind] = at
	}
}

// pollWait returns how long polls wait in the hub: short enough that several fit into each MaxAge.
func (c *Client) pollWait() time.Duration {
	wait := pollWait
	for _, limit := range c.MaxAge {
		wait = min(wait, limit/pollsPerMaxAge)
	}
	return wait
}

func (c *Client) poll(ctx context.Context, address string, mode pollMode) (PollReply, error) {
	request := PollRequest{Known: c.knownRevisions(), Quarantine: c.quarantineCursor, Wait: c.pollWait(), Relay: c.Relay, Relayed: mode.relay, MayRedirect: mode.mayRedirect}
	if c.ServedProcesses != nil {
		request.Served = c.ServedProcesses()
	}
	relayed, _ := c.mode()
	var timeout time.Duration
	switch {
	case relayed:
		timeout = request.Wait + pollMargin
	case mode.relay && !c.hasUnknownKind():
		// Replacement for a lost relay: it is up to date, or becomes so within relayProbeWait.
		request.Wait, request.ReadyWait, timeout = time.Millisecond, relayProbeWait, relayProbeWait+relayProbeMargin
	case mode.relay:
		// The relay may first have to poll the coordinator.
		request.Wait, request.ReadyWait, timeout = time.Millisecond, referralWait, referralWait+fullListMargin
	default:
		// The first poll only determines whether the hub can serve. A hub that cannot still waits for a new coordinator.
		request.Wait, timeout = time.Millisecond, referralWait+pollMargin
	}
	if c.Relay && c.hasUnknownKind() {
		timeout = referralWait + fullListMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Poll(ctx, address, request)
}

// hasUnknownKind reports whether a followed kind other than the lease has no snapshot yet.
func (c *Client) hasUnknownKind() bool {
	for kind, sub := range c.subscriptions() {
		if kind != c.Lease && !sub.known() {
			return true
		}
	}
	return false
}

// mergeQuarantine merges the new records of the hub's quarantine table.
func (c *Client) mergeQuarantine(changes quarantine.Changes) {
	if c.Quarantine == nil || changes.Cursor == (quarantine.Cursor{}) {
		return
	}
	c.Quarantine.Merge(changes.Records)
	c.quarantineCursor = changes.Cursor
}

// knownRevisions returns the revision of each followed kind; zero for a kind without a snapshot.
func (c *Client) knownRevisions() map[string]metastore.Revision {
	revisions := make(map[string]metastore.Revision)
	for kind, sub := range c.subscriptions() {
		revisions[kind] = sub.current().Revision
	}
	return revisions
}

// applyChanges applies all changes of a reply, or none if one cannot be decoded.
func (c *Client) applyChanges(reply PollReply) error {
	changes := make([]Change, 0, len(reply.Changes))
	for _, packed := range reply.Changes {
		change, err := packed.unpacked()
		if err != nil {
			return err
		}
		changes = append(changes, change)
	}
	kinds := c.subscriptions()
	for _, change := range changes {
		if sub, ok := kinds[change.Kind]; ok {
			sub.apply(change)
		}
	}
	for kind, revision := range reply.Revisions {
		if sub, ok := kinds[kind]; ok {
			sub.advanceRevision(revision)
		}
	}
	return nil
}

func (c *Client) subscriptions() map[string]*subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.kinds)
}
