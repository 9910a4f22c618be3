package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/cluster"
)

// keeperSetMargin extends how long former keeper sets are retained: a node that has not received a revision may
// continue to grant for one lease length.
const keeperSetMargin = time.Minute

// keeper serves claims from one Table and persists them. It grants only when its view, its keeper set history and its
// table allow it.
type keeper struct {
	self      cluster.Node
	source    cluster.Source
	seeds     []cluster.Node
	limits    Limits
	guards    guards
	now       func() time.Time
	processID string

	mu      sync.Mutex
	table   *Table
	history keeperSetHistory
	store   *store // nil without a data folder
	started time.Time
	// tableComplete is set once the table holds every claim that this keeper has granted within the retention time.
	tableComplete bool
	// peerHasGranted is set once another keeper reported earlier grants, which may be missing from this table.
	peerHasGranted bool
	// clearedProcesses are the peer process IDs that the successful bootstrap of this keeper found new.
	clearedProcesses []string
}

// claim serves a claim from a node in peerZone and returns once the decision is durable.
func (k *keeper) claim(message claimMessage, peerZone string) claimReply {
	k.mu.Lock()
	reply, durable := k.applyClaim(message, peerZone)
	k.mu.Unlock()
	if err := awaitWrite(durable); err != nil {
		return claimReply{Verdict: verdictStorage}
	}
	return reply
}

// applyClaim applies a claim and returns the pending write. The caller holds the lock.
func (k *keeper) applyClaim(message claimMessage, peerZone string) (claimReply, <-chan error) {
	now := k.now()
	view := k.source.Current()
	pool := message.Key.Pool
	if !view.ServingAt(now) {
		return claimReply{Verdict: verdictNotServing}, nil
	}
	if !view.Permitted(pool, k.self.Zone) || !view.Permitted(pool, peerZone) {
		return claimReply{Verdict: verdictForbidden}, nil
	}
	present := keeperSet(view, pool, k.seeds)
	members := names(present)
	k.recordKeeperSet(now, pool, members)
	if !slices.Equal(members, message.Members) {
		return claimReply{Verdict: verdictKeeperSetMismatch, Home: present}, nil
	}
	if !slices.Contains(members, k.self.Name) || !k.mayGrant(now, pool, members) {
		return claimReply{Verdict: verdictAbstains}, nil
	}
	decision, record, changes := k.table.Claim(now, message.Key, message.ID, message.Fingerprint)
	reply := claimReply{Verdict: verdictOf(decision)}
	if decision == DecisionExisting {
		reply.Record = record
	}
	return reply, k.persist(write{changes: changes})
}

func verdictOf(decision Decision) verdict {
	switch decision {
	case DecisionGranted:
		return verdictGranted
	case DecisionExisting:
		return verdictExisting
	case DecisionFull:
		return verdictFull
	}
	return verdictReleased
}

// mayGrant reports whether the table is complete and the keeper set history allows a grant.
func (k *keeper) mayGrant(now time.Time, pool string, members []string) bool {
	if !k.guards.noAbstaining && !k.tableComplete {
		return false
	}
	return k.guards.noKeeperSetHistory || k.history.mayGrant(now, pool, members, k.limits.Retention+keeperSetMargin)
}

// update records an update from a claim's holder, also while this keeper abstains.
func (k *keeper) update(message learnMessage, peerZone string) noteReply {
	k.mu.Lock()
	if !k.zonesPermitted(message.Key.Pool, peerZone) {
		k.mu.Unlock()
		return noteReply{Forbidden: true}
	}
	noted, changes := k.table.Update(k.now(), message.Key, message.Record)
	durable := k.persist(write{changes: changes})
	k.mu.Unlock()
	return noteReply{Noted: awaitWrite(durable) == nil && noted}
}

// release removes a claim and records its tombstone.
func (k *keeper) release(message releaseMessage) noteReply {
	k.mu.Lock()
	noted, changes := k.table.Release(k.now(), message.Key, message.ID)
	durable := k.persist(write{changes: changes})
	k.mu.Unlock()
	return noteReply{Noted: awaitWrite(durable) == nil && noted}
}

func (k *keeper) zonesPermitted(pool, peerZone string) bool {
	view := k.source.Current()
	return view.Permitted(pool, k.self.Zone) && view.Permitted(pool, peerZone)
}

// bootstrapStatus serves a bootstrap query from another keeper.
func (k *keeper) bootstrapStatus(message startMessage) startReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return startReply{Life: k.processID, New: !k.tableComplete && !k.peerHasGranted, Cleared: slices.Contains(k.clearedProcesses, message.Life)}
}

// maintain records changed keeper sets, removes expired entries and stops abstaining once the retention time has passed.
func (k *keeper) maintain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	view := k.source.Current()
	k.recordKeeperSets(now, view)
	k.persist(write{changes: k.table.Sweep(now, func(pool string) bool {
		return view.Revision == 0 || view.Permitted(pool, k.self.Zone)
	})})
	if !k.tableComplete && now.Sub(k.started) >= k.limits.Retention {
		k.markTableComplete(nil)
	}
}

// markTableComplete stops abstaining. The mark is persisted before any later grant, so that a keeper that has granted
// never appears new. The caller holds the lock.
func (k *keeper) markTableComplete(processIDs []string) {
	k.tableComplete = true
	k.clearedProcesses = processIDs
	k.persist(write{tableComplete: true})
}

// completeBootstrap calls markTableComplete if the keeper still abstains.
func (k *keeper) completeBootstrap(processIDs []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.tableComplete {
		k.markTableComplete(processIDs)
	}
}

// recordPeerGrants persists that a peer has earlier grants, so that this keeper does not appear new if the peers later
// lose their tables. It reports whether this is the first such record.
func (k *keeper) recordPeerGrants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.peerHasGranted {
		return false
	}
	k.peerHasGranted = true
	k.persist(write{peerHasGranted: true})
	return true
}

func (k *keeper) knowsPeerGrants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peerHasGranted
}

func (k *keeper) isTableComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tableComplete
}

// bootstrapPeers returns the other members of every keeper set that contains this keeper. It is not eligible for
// bootstrap if there is no such set, or if nodes without a disk, which lose their grants on restart, can form a majority
// of one.
func (k *keeper) bootstrapPeers() (others []cluster.Node, eligible bool) {
	view := k.source.Current()
	if !view.ServingAt(k.now()) {
		return nil, false
	}
	found := make(map[string]cluster.Node)
	for pool := range view.Pools {
		members := keeperSet(view, pool, k.seeds)
		if !slices.ContainsFunc(members, k.isSelf) {
			continue
		}
		if !diskInEveryMajority(members) {
			return nil, false
		}
		for _, node := range members {
			found[node.Name] = node
		}
	}
	if len(found) == 0 {
		return nil, false
	}
	delete(found, k.self.Name)
	for _, node := range found {
		others = append(others, node)
	}
	return others, true
}

func (k *keeper) isSelf(node cluster.Node) bool { return node.Name == k.self.Name }

func diskInEveryMajority(members []cluster.Node) bool {
	diskless := 0
	for _, node := range members {
		if !node.HasDisk {
			diskless++
		}
	}
	return diskless < allGuards.majority(len(members))
}

// recordKeeperSets records the keeper sets of all pools, including deleted ones. The caller holds the lock.
func (k *keeper) recordKeeperSets(now time.Time, view *cluster.View) {
	if !view.ServingAt(now) {
		return
	}
	for pool := range view.Pools {
		k.recordKeeperSet(now, pool, names(keeperSet(view, pool, k.seeds)))
	}
	for pool := range k.history {
		if _, ok := view.Pools[pool]; !ok {
			k.recordKeeperSet(now, pool, nil)
		}
	}
}

// recordKeeperSet records a pool's keeper set. The caller holds the lock.
func (k *keeper) recordKeeperSet(now time.Time, pool string, members []string) {
	if k.history.record(now, pool, members, k.limits.Retention+keeperSetMargin) {
		k.persist(write{history: k.history.clone()})
	}
}

// persist enqueues a write and returns nil if there is nothing to write. The caller holds the lock, which orders writes.
func (k *keeper) persist(w write) <-chan error {
	if k.store == nil || (len(w.changes) == 0 && w.history == nil && !w.tableComplete && !w.peerHasGranted) {
		return nil
	}
	return k.store.enqueue(w)
}

// awaitWrite returns the result of a write; a nil channel means that there is none.
func awaitWrite(durable <-chan error) error {
	if durable == nil {
		return nil
	}
	return <-durable
}
