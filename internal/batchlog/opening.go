package batchlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/metastore"
)

const (
	// maxConcurrent is how many jobs are taken over at once. A trainer has two jobs open, so that the jobs of eight trainers take no longer
	// than one.
	maxConcurrent = 16
	// maxConcurrentParts is how many parts of one job's items are read at once.
	maxConcurrentParts = 4
)

// Opened is what the store holds of jobs when a term begins.
type Opened struct {
	// Jobs are those that are not known to be sealed, taken over.
	Jobs []*Stored
	// Sealed are the IDs of those that are.
	Sealed []string
	// Withheld are the jobs, without their items, that are not known to be sealed and that Permit excludes. They were neither fenced nor
	// changed.
	Withheld []batch.Job
	// Damaged are the jobs that can't be read, and why. They were not changed.
	Damaged map[string]error
}

// Opening takes over the jobs that are not known to be sealed, in two steps that may be repeated after an error: List and TakeOver. Jobs that
// were taken over before the error are not read again. It is not safe for concurrent use.
type Opening struct {
	store  *Store
	listed []metastore.Object
	// taken are the jobs that were taken over, by ID.
	taken map[string]*Stored
	// unreadable holds ErrRemoving or ErrDamaged, by the ID of the job.
	unreadable map[string]error
}

// Opening returns an Opening for the term of the store.
func (s *Store) Opening() *Opening {
	return &Opening{store: s, taken: make(map[string]*Stored), unreadable: make(map[string]error)}
}

// List reads which jobs there are, without their items and results. Permit is not called.
func (o *Opening) List(ctx context.Context) error {
	objects, _, err := metastore.ListAll(ctx, o.store.client, kindJobs, "")
	if err != nil {
		return err
	}
	o.listed = objects
	return nil
}

// TakeOver takes over the jobs of the last List, as far as Permit allows. Every job that it returns was fenced after it was listed. A job that can't be
// read, or is being removed, does not keep the others from being taken over.
func (o *Opening) TakeOver(ctx context.Context) (Opened, error) {
	opened := Opened{Damaged: make(map[string]error)}
	var open []metastore.Object
	for _, object := range o.listed {
		var found record
		if err := json.Unmarshal(object.Spec, &found); err != nil {
			opened.Damaged[object.Name] = err
			continue
		}
		switch {
		case found.Sealed, found.Removing:
			opened.Sealed = append(opened.Sealed, object.Name)
		case !o.store.permits(&found):
			opened.Withheld = append(opened.Withheld, found.Job)
		default:
			open = append(open, object)
		}
	}
	if err := o.takeOver(ctx, open); err != nil {
		return Opened{}, err
	}
	for _, object := range open {
		switch err := o.unreadable[object.Name]; {
		case errors.Is(err, ErrRemoving):
			opened.Sealed = append(opened.Sealed, object.Name)
		case err != nil:
			opened.Damaged[object.Name] = err
		default:
			opened.Jobs = append(opened.Jobs, o.taken[object.Name])
		}
	}
	return opened, nil
}

// takeOver takes over the jobs that are left. A failure of one job does not end the others, whose reads would have to be repeated.
func (o *Opening) takeOver(ctx context.Context, open []metastore.Object) error {
	left := slices.DeleteFunc(slices.Clone(open), func(object metastore.Object) bool {
		return o.taken[object.Name] != nil || o.unreadable[object.Name] != nil
	})
	var mu sync.Mutex
	var failures []error
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, object := range left {
		group.Go(func() error {
			job, err := o.store.takeOver(ctx, object)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, ErrRemoving), errors.Is(err, ErrDamaged):
				o.unreadable[object.Name] = err
			case err != nil:
				failures = append(failures, err)
			default:
				o.taken[object.Name] = job
			}
			return nil
		})
	}
	_ = group.Wait()
	return errors.Join(failures...)
}

// takeOver reads a job with its log, and fences the log unless it is sealed.
func (s *Store) takeOver(ctx context.Context, object metastore.Object) (*Stored, error) {
	job, err := s.load(ctx, object)
	if err != nil {
		return nil, err
	}
	if job.chunks > 0 {
		return job, job.Fence(ctx)
	}
	var group errgroup.Group
	group.Go(func() error { return s.checkNotRemoving(ctx, job.Job.ID) })
	if err := job.Fence(ctx); err != nil {
		_ = group.Wait()
		return nil, err
	}
	if err := group.Wait(); err != nil {
		if errors.Is(err, ErrRemoving) {
			// The fence would be left for good if the removal is already done.
			err = errors.Join(err, s.removeChunks(ctx, job.Job.ID))
		}
		return nil, err
	}
	return job, nil
}

// load reads a job's log and, unless the job has ended, its items. Both are read at once, as the items never change; a job that is known to
// have ended needs no items.
func (s *Store) load(ctx context.Context, object metastore.Object) (*Stored, error) {
	job := &Stored{store: s}
	if err := job.take(object); err != nil {
		return nil, err
	}
	if err := job.removing(); err != nil {
		return nil, err
	}
	job.ItemCount = job.record.ItemCount
	reading, cancel := context.WithCancel(ctx)
	var itemsRead sync.WaitGroup
	defer func() {
		cancel()
		itemsRead.Wait()
	}()
	var items []batch.Item
	var itemsErr error
	readItems := func() { items, itemsErr = s.readItems(reading, job.Job.ID, job.record.Parts) }
	ended := job.record.Sealed && job.ItemCount > 0
	if !ended {
		itemsRead.Go(readItems)
	}
	if err := job.Refresh(ctx); err != nil {
		return nil, err
	}
	if job.Sealed && job.ItemCount > 0 {
		return job, nil
	}
	if ended {
		// The log does not show the end, perhaps because the job is being removed.
		readItems()
	}
	itemsRead.Wait()
	if errors.Is(itemsErr, metastore.ErrNotFound) && (job.chunks == 0 || job.Sealed) {
		// Items are written before the job and deleted after its log.
		return nil, fmt.Errorf("%w: %w", ErrRemoving, itemsErr)
	}
	if errors.Is(itemsErr, metastore.ErrNotFound) {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, itemsErr)
	}
	if itemsErr != nil {
		return nil, itemsErr
	}
	job.Job.Items, job.ItemCount = items, len(items)
	return job, nil
}

// readItems reads the items of a job from the objects that hold them, in their order.
func (s *Store) readItems(ctx context.Context, job string, names []string) ([]batch.Item, error) {
	parts := make([][]batch.Item, len(names))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentParts)
	for i, name := range names {
		group.Go(func() error {
			var err error
			if parts[i], err = s.readPart(ctx, name); err != nil {
				return fmt.Errorf("batchlog: items of %s: %w", job, err)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var items []batch.Item
	for _, part := range parts {
		items = append(items, part...)
	}
	return items, nil
}

func (s *Store) readPart(ctx context.Context, name string) ([]batch.Item, error) {
	found, err := s.read(ctx, kindItems, name)
	if err != nil {
		return nil, err
	}
	var content part
	if err := json.Unmarshal(found.Spec, &content); err != nil {
		return nil, fmt.Errorf("%w: part %s: %w", ErrDamaged, name, err)
	}
	var items []batch.Item
	if err := decodeGob(content.Items, &items); err != nil {
		return nil, fmt.Errorf("%w: part %s: %w", ErrDamaged, name, err)
	}
	return items, nil
}
