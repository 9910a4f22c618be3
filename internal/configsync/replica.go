package configsync

import "time"

// The reasons for not serving.
const (
	reasonNoRevision   = "the zone's configuration has not been received"
	reasonNoLease      = "no lease from the zone's coordinator yet"
	reasonLeaseExpired = "lease from the zone's coordinator has expired"
)

// Replica is a node's copy of its zone's state and its lease. It is pure state: the caller passes the time.
type Replica struct {
	state      State
	token      uint64 // the highest coordinator token seen
	leaseUntil time.Time
}

// State returns the state held.
func (r *Replica) State() State { return r.state }

// Offer takes a state over unless it is older than the one held, and reports whether it did. The coordinator's token,
// the resource revision and the sequence within a token never go back.
func (r *Replica) Offer(offered State) bool {
	if offered.Token < r.token || offered.Revision < r.state.Revision {
		return false
	}
	if offered.Token == r.state.Token && offered.Sequence <= r.state.Sequence {
		return false
	}
	held := r.state
	if offered.index == nil {
		offered.index = held.index
	}
	r.token = offered.Token
	r.state = offered
	r.state.merge(held.Report())
	r.state.refreshAccepted()
	return true
}

// Renew extends the lease that was asked for at sentAt and granted by the coordinator of the token for length. A
// coordinator that has been superseded renews nothing.
func (r *Replica) Renew(token uint64, sentAt time.Time, length time.Duration) bool {
	if token < r.token {
		return false
	}
	r.token = token
	if until := sentAt.Add(length); until.After(r.leaseUntil) {
		r.leaseUntil = until
	}
	return true
}

// LeaseUntil returns the end of the lease; the zero time when there never was one.
func (r *Replica) LeaseUntil() time.Time { return r.leaseUntil }

// Serving reports whether the node may take new work, else why not.
func (r *Replica) Serving(now time.Time) (bool, string) {
	switch {
	case r.state.Revision == 0:
		return false, reasonNoRevision
	case r.leaseUntil.IsZero():
		return false, reasonNoLease
	case !now.Before(r.leaseUntil):
		return false, reasonLeaseExpired
	}
	return true, ""
}
