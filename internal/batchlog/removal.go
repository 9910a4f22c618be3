package batchlog

import (
	"context"
	"errors"
	"fmt"

	"github.com/covelink/covelink/internal/metastore"
)

var (
	// ErrRemoving reports a job whose removal has begun: it had ended, and part of it may be gone.
	ErrRemoving = errors.New("batchlog: being removed")
	// ErrDamaged reports a job that can't be read, however often it is tried.
	ErrDamaged = errors.New("batchlog: damaged")
)

// Remove deletes a sealed job and all that belongs to it. The job's object is marked first and deleted last, so that whoever finds what is left of the
// job knows that it has ended, and a removal that was cut short can be done again. The error is metastore.ErrNotFound if there is no such job,
// ErrWithheld if Permit excludes it, or that of the store.
func (s *Store) Remove(ctx context.Context, id string) error {
	object, err := s.read(ctx, kindJobs, id)
	if err != nil {
		return err
	}
	job := &Stored{store: s}
	if err := job.take(object); err != nil {
		return err
	}
	if !s.permits(&job.record) {
		return ErrWithheld
	}
	if !job.record.Removing {
		if err := s.mayRemove(ctx, object); err != nil {
			return err
		}
	}
	return job.Remove(ctx)
}

// mayRemove returns nil if a job has ended, or what is left of it shows that its removal has begun.
func (s *Store) mayRemove(ctx context.Context, object metastore.Object) error {
	found, err := s.takeOver(ctx, object)
	if errors.Is(err, ErrRemoving) {
		return nil
	}
	if err != nil {
		return err
	}
	if !found.Sealed {
		return fmt.Errorf("batchlog: %s: not removed, since it has not ended", object.Name)
	}
	return nil
}

// Remove deletes the job like Store.Remove. The job must be sealed.
func (j *Stored) Remove(ctx context.Context) error {
	err := j.update(ctx, func(r *record) bool {
		changed := !r.Removing || !r.Sealed
		r.Removing, r.Sealed = true, true
		return changed
	})
	if errors.Is(err, metastore.ErrNotFound) {
		return j.store.removeChunks(ctx, j.Job.ID)
	}
	if err != nil {
		return err
	}
	if err := j.store.removeChunks(ctx, j.Job.ID); err != nil {
		return err
	}
	for _, name := range j.record.Parts {
		if err := j.store.remove(ctx, kindItems, name, 0); err != nil {
			return err
		}
	}
	return j.store.remove(ctx, kindJobs, j.Job.ID, j.object.Revision)
}

// removeChunks deletes the chunks that are left of a job's log.
func (s *Store) removeChunks(ctx context.Context, job string) error {
	chunks, _, err := metastore.ListAll(ctx, s.client, kindResults(job), "")
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		if err := s.remove(ctx, kindResults(job), chunk.Name, chunk.Revision); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an object that may be gone already.
func (s *Store) remove(ctx context.Context, kind, name string, revision metastore.Revision) error {
	err := s.client.Delete(ctx, kind, name, revision)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil
	}
	return err
}

// checkNotRemoving returns ErrRemoving if the removal of a job began after its object was read. Called after the log was read, it tells the empty log of
// a new job from one whose chunks were deleted meanwhile.
func (s *Store) checkNotRemoving(ctx context.Context, id string) error {
	object, err := s.read(ctx, kindJobs, id)
	if errors.Is(err, metastore.ErrNotFound) {
		return fmt.Errorf("%w: %s", ErrRemoving, id)
	}
	if err != nil {
		return err
	}
	current := &Stored{}
	if err := current.take(object); err != nil {
		return err
	}
	return current.removing()
}

// removing returns ErrRemoving if the job's object says so.
func (j *Stored) removing() error {
	if j.record.Removing {
		return fmt.Errorf("%w: %s", ErrRemoving, j.Job.ID)
	}
	return nil
}

// gap returns the error of a log that lacks a chunk before the given ones. Removals that delete the first chunks first leave the seal until the end.
func (j *Stored) gap(rest []metastore.Object) error {
	tail := &Stored{}
	for _, object := range rest {
		if err := tail.add(object); err != nil {
			return err
		}
	}
	if tail.Sealed {
		return fmt.Errorf("%w: %s: chunk %d is missing before the end of the log", ErrRemoving, j.Job.ID, j.chunks)
	}
	return fmt.Errorf("%w: %s: chunk %d is missing", ErrDamaged, j.Job.ID, j.chunks)
}
