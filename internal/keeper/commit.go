package keeper

import (
	"errors"
	"fmt"
	"syscall"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/covelink/covelink/coord/quorumlog"
)

const (
	// maxGroup bounds the updates that one transaction makes durable.
	maxGroup = 256
	// pageShare is how many bytes of the file a byte of an update may take, pages half full.
	pageShare = 2
	// updateOverhead is what an update takes beyond its size: pages on the path to it are written anew.
	updateOverhead = 16 << 10
	// reserveShare of the limit is left to updates that add no data.
	reserveShare = 16
)

// update is a change of one log on its way to disk.
type update struct {
	log     string
	content quorumlog.Update
	remove  bool
	done    chan error
}

// commit makes an update durable together with those that wait beside it.
func (d *Disk) commit(u *update) error {
	u.done = make(chan error, 1)
	select {
	case d.updates <- u:
	case <-d.closing:
		return ErrClosed
	}
	select {
	case err := <-u.done:
		return err
	case <-d.ended:
	}
	select {
	case err := <-u.done:
		return err
	default:
		return ErrClosed
	}
}

// commitGroups writes updates until the disk is closed: all that wait, in one transaction and one sync.
func (d *Disk) commitGroups() {
	defer close(d.ended)
	for {
		select {
		case first := <-d.updates:
			d.commitGroup(d.group(first))
		case <-d.closing:
			return
		}
	}
}

func (d *Disk) group(first *update) []*update {
	group := []*update{first}
	for len(group) < maxGroup {
		select {
		case next := <-d.updates:
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

// commitGroup answers the updates that don't fit with ErrFull, and all others with the outcome of their transaction. If
// that grew beyond the limit all the same, for want of free pages beside each other, each update gets one of its own.
func (d *Disk) commitGroup(group []*update) {
	taken, err := d.transact(group)
	if errors.Is(err, quorumlog.ErrFull) && len(taken) > 1 {
		for _, u := range taken {
			d.commitGroup([]*update{u})
		}
		return
	}
	for _, u := range taken {
		u.done <- err
	}
}

// transact writes the updates that fit, and returns them with the outcome.
func (d *Disk) transact(group []*update) (taken []*update, err error) {
	if d.failed {
		return group, fmt.Errorf("%w: database failed before", quorumlog.ErrCorrupt)
	}
	err = protect(func() error {
		return d.db.Update(func(tx *bbolt.Tx) error {
			room := d.room(tx)
			for _, u := range group {
				if !room.take(u) {
					u.done <- quorumlog.ErrFull
					continue
				}
				taken = append(taken, u)
				if err := u.apply(tx); err != nil {
					return err
				}
			}
			return nil
		})
	})
	if errors.Is(err, bbolterrors.ErrMaxSizeReached) || errors.Is(err, syscall.ENOSPC) {
		err = fmt.Errorf("%w: %w", quorumlog.ErrFull, err) // rolled back
	}
	d.failed = errors.Is(err, quorumlog.ErrCorrupt)
	return taken, err
}

func (u *update) cost() int64 {
	size := 0
	if u.content.Snapshot != nil {
		size += len(u.content.Snapshot.Data)
	}
	for _, entry := range u.content.Entries {
		size += entry.Size()
	}
	return int64(size) * pageShare
}

// room is what a transaction may write, in bytes.
type room struct {
	growth  int64 // by which the file may grow
	reserve int64 // of the growth, for updates that free more than they take
	free    int64 // in free pages
}

// room keeps one step of the file's growth back, which the database takes at once.
func (d *Disk) room(tx *bbolt.Tx) *room {
	return &room{
		growth:  d.limit - tx.Size() - int64(d.db.AllocSize),
		reserve: d.limit / reserveShare,
		free:    int64(d.db.Stats().FreePageN) * int64(d.db.Info().PageSize),
	}
}

// take reports whether the update may be written, and counts it. Free pages are counted at half, since a write may need
// some beside each other. Updates that add no data always fit. A snapshot may use the reserve: it frees the entries
// before it.
func (r *room) take(u *update) bool {
	cost := u.cost()
	if cost == 0 {
		return true
	}
	cost += updateOverhead
	growth := r.growth
	if u.content.Snapshot == nil {
		growth -= r.reserve
	}
	switch {
	case cost <= r.free/2:
		r.free -= 2 * cost
	case cost <= growth:
		r.growth -= cost
	default:
		return false
	}
	return true
}
