// Package election chooses one process to coordinate, by a lease object in the metadata store.
//
// The lease names its holder and bears a token that rises with every change of holder. It does not run out: a candidate that
// does not reach the holder writes a challenge into the lease, and takes it over if the holder has not answered, by
// removing the challenge, within a bounded time. The holder is judged by whether it reaches the store, not by whether one
// candidate reaches it.
//
// The lease may name home regions, in which the holder should be. Candidates elsewhere wait until those at home have had their
// chance, and a holder elsewhere stops for the first candidate at home that the store serves.
//
// A holder learns of its loss by following the lease, which may take a while: what only a holder may do is written to the store
// under the term's token, on the condition that no later one was there before.
//
// Guarantee: of two terms the later one has the higher token.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/covelink/covelink/internal/metastore"
)

const (
	// KindLeases is the kind of lease objects.
	KindLeases = "leases"
	// leaseName is the name of the coordinator's lease.
	leaseName = "coordinator"
)

// ErrLost reports that the lease is held by another.
var ErrLost = errors.New("election: lease lost")

// Lease is the state of the lease.
type Lease struct {
	// Holder is the name of the process that holds it; empty if nobody does.
	Holder string `json:"holder"`
	// Instance tells one start of the holder from another.
	Instance string `json:"instance"`
	// Address is where the holder serves other nodes, as host:port.
	Address string `json:"address"`
	// Zone is the holder's; empty if it is not known, as in leases that older versions wrote.
	Zone string `json:"zone,omitempty"`
	// Home are the home regions, as the last holder knew them; empty if the holder may be anywhere.
	Home []string `json:"home,omitempty"`
	// Token rises with every change of holder.
	Token int64 `json:"token"`
	// Challenger is the instance that asks the holder to show that it lives; empty if none does.
	Challenger string `json:"challenger"`

	revision metastore.Revision
}

// decodeLease reads a lease object. The zero Lease stands for one that was never written.
func decodeLease(object metastore.Object) (Lease, error) {
	var lease Lease
	if err := json.Unmarshal(object.Spec, &lease); err != nil {
		return Lease{}, fmt.Errorf("election: lease: %w", err)
	}
	lease.revision = object.Revision
	return lease, nil
}

// write stores a lease on the condition that it has not changed since the revision of previous.
func write(ctx context.Context, client metastore.Client, previous, next Lease) (Lease, error) {
	spec, err := json.Marshal(next)
	if err != nil {
		return Lease{}, err
	}
	object := metastore.Object{Name: leaseName, Spec: spec, Revision: previous.revision}
	if previous.revision == 0 {
		object, err = client.Create(ctx, KindLeases, object)
	} else {
		object, err = client.Replace(ctx, KindLeases, object)
	}
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		return Lease{}, ErrLost
	}
	if err != nil {
		return Lease{}, err
	}
	return decodeLease(object)
}

// Term is one holding of the lease.
type Term struct {
	// Address is where the holder is reached; empty if there is no holder or it is not known.
	Address string
	// Zone is the holder's; empty if it is not known.
	Zone  string
	Token int64
}
