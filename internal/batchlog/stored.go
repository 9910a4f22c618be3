package batchlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/metastore"
)

// Stored is a job that is kept, with its log as far as it was read. It is not safe for concurrent use.
type Stored struct {
	store  *Store
	object metastore.Object
	record record
	// Job is the job as it was accepted; one that had ended when it was read lacks its items.
	Job batch.Job
	// ItemCount is the number of the job's items.
	ItemCount int
	// Results are the results in the log.
	Results []batch.Result
	// Sealed is true once nothing is appended any more.
	Sealed bool
	// Created is true if Accept created the job, and false if it was found.
	Created bool
	chunks  int
	// token is the highest of the log's chunks.
	token int64
}

// take reads the job's object.
func (j *Stored) take(object metastore.Object) error {
	var found record
	if err := json.Unmarshal(object.Spec, &found); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, object.Name, err)
	}
	items := j.Job.Items
	j.object, j.record, j.Job = object, found, found.Job
	j.Job.Items = items
	return nil
}

// Refresh reads the chunks that were appended since the log was last read.
func (j *Stored) Refresh(ctx context.Context) error {
	after := ""
	if j.chunks > 0 {
		after = chunkName(j.chunks - 1)
	}
	objects, _, err := metastore.ListAll(ctx, j.store.client, kindResults(j.Job.ID), after)
	if err != nil {
		return err
	}
	for i, object := range objects {
		if object.Name != chunkName(j.chunks) {
			return j.gap(objects[i:])
		}
		if err := j.add(object); err != nil {
			return err
		}
	}
	return nil
}

// add takes in the next chunk.
func (j *Stored) add(object metastore.Object) error {
	var found chunk
	if err := json.Unmarshal(object.Spec, &found); err != nil {
		return fmt.Errorf("%w: chunk %s of %s: %w", ErrDamaged, object.Name, j.Job.ID, err)
	}
	var results []batch.Result
	if len(found.Results) > 0 {
		if err := decodeGob(found.Results, &results); err != nil {
			return fmt.Errorf("%w: chunk %s of %s: %w", ErrDamaged, object.Name, j.Job.ID, err)
		}
	}
	j.Results = append(j.Results, results...)
	j.Sealed = j.Sealed || found.Sealed
	j.token = max(j.token, found.Token)
	j.chunks++
	return nil
}

// Append adds results, as many as fit one chunk, and seals the log with the last of them if seal is true. It returns how many
// it has added; the log may then hold more, which others have appended before: see Results. Results of items that have one
// are left out. ErrFenced or ErrSealed if nothing can be appended, or the error of the store; after metastore.ErrUnknown the
// call may be repeated.
func (j *Stored) Append(ctx context.Context, results []batch.Result, seal bool) (int, error) {
	for {
		if j.Sealed {
			return 0, ErrSealed
		}
		fresh := j.unlisted(results)
		part := fresh
		if len(fresh) > 0 {
			part = splitResults(fresh)[0]
		}
		last := len(part) == len(fresh)
		if len(part) == 0 && !seal {
			return len(results), nil
		}
		appended, err := j.append(ctx, part, seal && last)
		if err != nil {
			return 0, err
		}
		if appended {
			return len(results) - len(fresh) + len(part), nil
		}
	}
}

// unlisted returns the results of items that have none in the log.
func (j *Stored) unlisted(results []batch.Result) []batch.Result {
	listed := make(map[string]struct{}, len(j.Results))
	for _, result := range j.Results {
		listed[result.ID] = struct{}{}
	}
	fresh := make([]batch.Result, 0, len(results))
	for _, result := range results {
		if _, ok := listed[result.ID]; !ok {
			fresh = append(fresh, result)
		}
	}
	return fresh
}

// Fence appends a chunk without results, unless the log is sealed: after it, the log is known as a whole, and writers of earlier
// terms append nothing.
func (j *Stored) Fence(ctx context.Context) error {
	for !j.Sealed {
		appended, err := j.append(ctx, nil, false)
		if err != nil || appended {
			return err
		}
	}
	return nil
}

// append creates the next chunk. It returns false if another writer was first, whose chunks have then been read.
func (j *Stored) append(ctx context.Context, results []batch.Result, seal bool) (bool, error) {
	if j.token > j.store.token {
		return false, ErrFenced
	}
	next := chunk{Writer: j.store.writer, Token: j.store.token, Sealed: seal}
	if len(results) > 0 {
		var err error
		if next.Results, err = encodeGob(results); err != nil {
			return false, err
		}
	}
	object, err := encodeObject(chunkName(j.chunks), next)
	if err != nil {
		return false, err
	}
	own := func(current metastore.Object) bool {
		var found chunk
		return json.Unmarshal(current.Spec, &found) == nil && found.equal(next)
	}
	_, err = metastore.SettleCreate(ctx, j.store.client, kindResults(j.Job.ID), object, own)
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		return false, j.Refresh(ctx)
	}
	if err != nil {
		return false, err
	}
	j.Results = append(j.Results, results...)
	j.Sealed = seal
	j.token = j.store.token
	j.chunks++
	return true, nil
}

// equal reports whether both are the same writer's chunk. A writer may try another chunk under the same number after one whose
// outcome it did not learn.
func (c chunk) equal(other chunk) bool {
	return c.Writer == other.Writer && c.Sealed == other.Sealed && bytes.Equal(c.Results, other.Results)
}

// MarkSealed notes on the job that its log is sealed, so that Open passes it over.
func (j *Stored) MarkSealed(ctx context.Context) error {
	return j.update(ctx, func(r *record) bool {
		changed := !r.Sealed
		r.Sealed = true
		return changed
	})
}

// update changes the job's object until the change holds or ctx ends.
func (j *Stored) update(ctx context.Context, change func(*record) bool) error {
	for {
		next := j.record
		if !change(&next) {
			return nil
		}
		object, err := encodeObject(j.object.Name, next)
		if err != nil {
			return err
		}
		object.Revision = j.object.Revision
		object, err = metastore.SettleReplace(ctx, j.store.client, kindJobs, object)
		var conflict *metastore.ConflictError
		if errors.As(err, &conflict) {
			if err := j.take(conflict.Current); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		return j.take(object)
	}
}

// chunkName names a chunk so that chunks are listed in their order.
func chunkName(number int) string { return fmt.Sprintf("%08d", number) }
