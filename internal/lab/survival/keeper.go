package survival

import (
	"time"

	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/claims"
)

const (
	claimRetention = 40 * leaseLength
	maxClaims      = 1 << 12
)

// keeper is a node's copy of the ledger's log and its table of claims, both on disk: they outlive the process unless wiped.
type keeper struct {
	node     *node
	storage  *quorumlog.MemoryStorage
	replica  *quorumlog.Replica
	register *claims.Register
	// mayGrantAt is when the table is known to hold all that was granted within the retention time.
	mayGrantAt time.Duration
}

func newKeeper(n *node) *keeper {
	k := &keeper{node: n}
	k.wipe()
	return k
}

// wipe empties the disk.
func (k *keeper) wipe() {
	k.storage = &quorumlog.MemoryStorage{}
	k.register = claims.NewRegister(claims.Limits{Retention: claimRetention, MaxEntries: maxClaims, MaxAnswerBytes: 1 << 20})
	if k.node.life > 0 && !k.node.world.guards.noAbstaining {
		k.mayGrantAt = k.node.world.clock.Now() + claimRetention
	}
}

func (k *keeper) boot() {
	replica, err := quorumlog.NewReplica(k.storage, k.node.life<<8|uint64(k.node.index)+1)
	if err != nil {
		panic(err) // memory does not fail
	}
	k.replica = replica
}

// step answers a message of the log.
func (k *keeper) step(request quorumlog.Request) quorumlog.Reply {
	if k.node.world.guards.noFencing {
		k.forget(request.Epoch)
	}
	return k.replica.Step(request)
}

// forget makes the replica believe that it has promised nothing higher than the epoch asked for.
func (k *keeper) forget(asked quorumlog.Epoch) {
	stored, err := k.storage.Load()
	if err != nil || stored.State.Incarnation == 0 {
		return
	}
	state := stored.State
	state.Promised = asked
	if err := k.storage.Write(quorumlog.Update{State: state, CutAfter: quorumlog.KeepAll}); err == nil {
		k.boot()
	}
}

// claim answers a claim; false means that the keeper abstains.
func (k *keeper) claim(key claims.Key, id string) (claims.Decision, claims.Record, bool) {
	if k.node.world.clock.Now() < k.mayGrantAt {
		return 0, claims.Record{}, false
	}
	decision, record, _ := k.register.Claim(k.node.world.now(), key, id, 0)
	return decision, record, true
}
