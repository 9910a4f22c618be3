package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/cluster"
)

// homeMargin is added to the retention time before a former home is forgotten: nodes that have not heard of a
// revision may go on granting for a lease length.
const homeMargin = time.Minute

// keeper answers claims from one Register. It grants only what is safe given its view, its past and its file.
type keeper struct {
	self   cluster.Node
	source cluster.Source
	seeds  []cluster.Node
	limits Limits
	guards guards
	now    func() time.Time
	life   string

	mu       sync.Mutex
	register *Register
	history  homeHistory
	store    *store // nil without a data folder
	started  time.Time
	// opened tells that the table is complete: it holds every claim that this keeper has granted within the retention time.
	opened bool
	// used tells that another keeper is not new: claims were granted, which this keeper may have forgotten.
	used bool
	// clearedLives are the lives that this keeper found new when it was cleared itself.
	clearedLives []string
}

// claim answers one claim of a node in peerZone.
func (k *keeper) claim(message claimMessage, peerZone string) claimReply {
	k.mu.Lock()
	reply, durable := k.decide(message, peerZone)
	k.mu.Unlock()
	if err := await(durable); err != nil {
		return claimReply{Verdict: verdictStorage}
	}
	return reply
}

// decide holds the lock.
func (k *keeper) decide(message claimMessage, peerZone string) (claimReply, <-chan error) {
	now := k.now()
	view := k.source.Current()
	pool := message.Key.Pool
	if !view.Serving {
		return claimReply{Verdict: verdictNotServing}, nil
	}
	if !view.Permitted(pool, k.self.Zone) || !view.Permitted(pool, peerZone) {
		return claimReply{Verdict: verdictForbidden}, nil
	}
	present := home(view, pool, k.seeds)
	members := names(present)
	k.observe(now, pool, members)
	if !slices.Equal(members, message.Members) {
		return claimReply{Verdict: verdictOtherHome, Home: present}, nil
	}
	if !slices.Contains(members, k.self.Name) || !k.mayGrant(now, pool, members) {
		return claimReply{Verdict: verdictAbstains}, nil
	}
	decision, record, changes := k.register.Claim(now, message.Key, message.ID, message.Fingerprint)
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

// mayGrant reports whether the table is complete and the home has not just changed.
func (k *keeper) mayGrant(now time.Time, pool string, members []string) bool {
	if !k.guards.noAbstaining && !k.opened {
		return false
	}
	return k.guards.noHomeHistory || k.history.mayGrant(now, pool, members, k.limits.Retention+homeMargin)
}

// learn notes what a holder states, also while this keeper abstains.
func (k *keeper) learn(message learnMessage, peerZone string) noteReply {
	k.mu.Lock()
	if !k.mayHold(message.Key.Pool, peerZone) {
		k.mu.Unlock()
		return noteReply{Forbidden: true}
	}
	noted, changes := k.register.Learn(k.now(), message.Key, message.Record)
	durable := k.persist(write{changes: changes})
	k.mu.Unlock()
	return noteReply{Noted: await(durable) == nil && noted}
}

// release gives a claim up.
func (k *keeper) release(message releaseMessage) noteReply {
	k.mu.Lock()
	noted, changes := k.register.Release(k.now(), message.Key, message.ID)
	durable := k.persist(write{changes: changes})
	k.mu.Unlock()
	return noteReply{Noted: await(durable) == nil && noted}
}

func (k *keeper) mayHold(pool, peerZone string) bool {
	view := k.source.Current()
	return view.Permitted(pool, k.self.Zone) && view.Permitted(pool, peerZone)
}

// start answers a keeper that wants to know whether anything was ever granted.
func (k *keeper) start(message startMessage) startReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return startReply{Life: k.life, New: !k.opened && !k.used, Cleared: slices.Contains(k.clearedLives, message.Life)}
}

// tend does what is due: it notes changed homes, forgets what has expired, and ends the time of abstaining.
func (k *keeper) tend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	view := k.source.Current()
	k.observeAll(now, view)
	k.persist(write{changes: k.register.Sweep(now, func(pool string) bool {
		return view.Revision == 0 || view.Permitted(pool, k.self.Zone)
	})})
	if !k.opened && now.Sub(k.started) >= k.limits.Retention {
		k.open(nil)
	}
}

// open ends the time of abstaining. Holds the lock. Grants that follow are written behind the mark, so that a keeper
// that has granted is never taken for new.
func (k *keeper) open(lives []string) {
	k.opened = true
	k.clearedLives = lives
	k.persist(write{opened: true})
}

// clear opens the keeper if it still abstains.
func (k *keeper) clear(lives []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.opened {
		k.open(lives)
	}
}

// noteUsed takes note that another keeper is not new, so that this one is not taken for new either, should the others lose
// their tables in turn. It reports whether that is news.
func (k *keeper) noteUsed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.used {
		return false
	}
	k.used = true
	k.persist(write{used: true})
	return true
}

func (k *keeper) isUsed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used
}

func (k *keeper) isOpen() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.opened
}

// peers returns the other keepers of every home that this keeper is in. It is not eligible for a first start if it is
// in none, or if a majority of one of them has no disk: nodes without a disk do not know whether they granted before.
func (k *keeper) peers() (others []cluster.Node, eligible bool) {
	view := k.source.Current()
	if !view.Serving {
		return nil, false
	}
	found := make(map[string]cluster.Node)
	for pool := range view.Pools {
		members := home(view, pool, k.seeds)
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

// observeAll notes the homes of all pools, also of those that are gone. Holds the lock.
func (k *keeper) observeAll(now time.Time, view *cluster.View) {
	if !view.Serving {
		return
	}
	for pool := range view.Pools {
		k.observe(now, pool, names(home(view, pool, k.seeds)))
	}
	for pool := range k.history {
		if _, ok := view.Pools[pool]; !ok {
			k.observe(now, pool, nil)
		}
	}
}

// observe notes a pool's home. Holds the lock.
func (k *keeper) observe(now time.Time, pool string, members []string) {
	if k.history.observe(now, pool, members, k.limits.Retention+homeMargin) {
		k.persist(write{history: k.history.clone()})
	}
}

// persist hands a write to the file, behind all earlier ones. Holds the lock, which gives the order.
func (k *keeper) persist(w write) <-chan error {
	if k.store == nil || (len(w.changes) == 0 && w.history == nil && !w.opened && !w.used) {
		return nil
	}
	return k.store.enqueue(w)
}

// await waits for a write; nil means that there is none.
func await(durable <-chan error) error {
	if durable == nil {
		return nil
	}
	return <-durable
}
