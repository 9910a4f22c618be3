// Package batchlog keeps batch jobs in the metadata store: the job as it was accepted, and a log of results that only grows.
//
// A job is one object; its items are kept beside it, written before it. The log is a series of chunks, numbered from 0, each
// created once and never changed: whoever creates chunk N has read all before it. A chunk bears the token of its writer's
// term, and a writer that takes a log over appends a fence first. Guarantees, while the store keeps what it acknowledged and
// tokens of later terms are higher:
//
//   - A job that was accepted is found by everyone, with its items, until it is removed.
//   - A result that was appended keeps its position and its content; an item has at most one result.
//   - Once a writer has fenced a log, it knows all of it, and writers of earlier terms append nothing more.
//   - After a sealing chunk nothing is appended: the job has ended.
package batchlog

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/metastore"
)

// The kinds of objects.
const (
	kindJobs  = "batches"
	kindItems = "batch-items"
	// resultsPrefix begins the kind of a job's chunks: each job has a kind of its own, so that a list of one log holds nothing else.
	resultsPrefix = "batch-results" + nameSeparator
)

// kindResults returns the kind of the chunks of a job's log.
func kindResults(job string) string { return resultsPrefix + job }

const (
	// maxPartBytes bounds the encoded content of one object, before base64.
	maxPartBytes = 400 << 10
	// nameSeparator divides a job's ID from what follows it in a name.
	nameSeparator = "."
)

var (
	// ErrFenced reports a log that a writer of a later term has taken over.
	ErrFenced = errors.New("batchlog: fenced by a later term")
	// ErrSealed reports a log to which nothing is appended any more.
	ErrSealed = errors.New("batchlog: sealed")
	// ErrWithheld reports a job whose items and results this process may not read.
	ErrWithheld = errors.New("batchlog: withheld from this process")
)

// Store keeps batch jobs for the writer of one term.
type Store struct {
	client metastore.Client
	// token is the term's.
	token int64
	// writer tells this writer's objects from others'.
	writer string
	// Permit reports whether this process may read the items and results of a job, which is passed without them; nil means always.
	Permit func(job *batch.Job) bool
}

// New returns a Store for the writer of a term.
func New(client metastore.Client, token int64) *Store {
	return &Store{client: client, token: token, writer: uuid.NewString()}
}

// record is a job's object: the job without its items.
type record struct {
	Writer string `json:"writer"`
	// Parts are the names of the objects that hold the items.
	Parts []string `json:"parts"`
	// ItemCount is the number of the items; zero in objects of versions that did not note it.
	ItemCount int       `json:"itemCount"`
	Job       batch.Job `json:"job"`
	// Sealed is true once the log is known to be sealed; the log itself decides.
	Sealed bool `json:"sealed"`
	// Removing is true once the job's chunks and items may be missing.
	Removing bool `json:"removing,omitempty"`
}

// part holds items of a job.
type part struct {
	Items []byte `json:"items"`
}

// chunk is one element of a log.
type chunk struct {
	Writer string `json:"writer"`
	// Token is that of the writer's term.
	Token int64 `json:"token"`
	// Results may be empty: a fence, or a seal.
	Results []byte `json:"results"`
	Sealed  bool   `json:"sealed"`
}

// Accept keeps a job for good. It returns the job as it is kept, which is another submission's if there was one. The error
// is ErrWithheld if Permit excludes that one, or ErrRemoving; it wraps metastore.ErrNotDone if the job is not kept and never will be, or
// metastore.ErrUnknown.
func (s *Store) Accept(ctx context.Context, job batch.Job) (*Stored, error) {
	names, err := s.writeItems(ctx, job)
	if err != nil {
		return nil, fmt.Errorf("%w: items: %w", metastore.ErrNotDone, err)
	}
	kept := record{Writer: s.writer + nameSeparator + uuid.NewString(), Parts: names, ItemCount: len(job.Items), Job: job}
	kept.Job.Items = nil
	object, err := encodeObject(job.ID, kept)
	if err != nil {
		return nil, err
	}
	own := func(current metastore.Object) bool {
		var found record
		return json.Unmarshal(current.Spec, &found) == nil && found.Writer == kept.Writer
	}
	created, err := metastore.SettleCreate(ctx, s.client, kindJobs, object, own)
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		return s.takeOverPermitted(ctx, conflict.Current)
	}
	if err != nil {
		return nil, err
	}
	return &Stored{store: s, object: created, record: kept, Job: job, ItemCount: len(job.Items), Created: true}, nil
}

// writeItems writes the items under names that no other submission uses.
func (s *Store) writeItems(ctx context.Context, job batch.Job) ([]string, error) {
	submission := uuid.NewString()
	var names []string
	for _, items := range splitItems(job.Items) {
		content, err := encodeGob(items)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%s%s%s%s%04d", job.ID, nameSeparator, submission, nameSeparator, len(names))
		object, err := encodeObject(name, part{Items: content})
		if err != nil {
			return nil, err
		}
		own := func(metastore.Object) bool { return true }
		if _, err := metastore.SettleCreate(ctx, s.client, kindItems, object, own); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// splitItems divides items so that each part fits an object.
func splitItems(items []batch.Item) [][]batch.Item {
	return split(items, func(item batch.Item) int {
		size := len(item.Body) + 512
		if item.Reward != nil {
			size += len(item.Reward.Body)
		}
		for name, value := range item.Header {
			size += len(name) + len(value)
		}
		return size
	})
}

func splitResults(results []batch.Result) [][]batch.Result {
	return split(results, func(result batch.Result) int { return len(result.Text) + 256 })
}

// split divides a list into parts of at most maxPartBytes, but at least one element.
func split[T any](list []T, size func(T) int) [][]T {
	var parts [][]T
	begin, bytes := 0, 0
	for i, element := range list {
		length := size(element)
		if i > begin && bytes+length > maxPartBytes {
			parts = append(parts, list[begin:i])
			begin, bytes = i, 0
		}
		bytes += length
	}
	return append(parts, list[begin:])
}

// Find takes a job over. metastore.ErrNotFound if there is none, ErrWithheld if Permit excludes it, ErrRemoving or ErrDamaged if it can't be read.
func (s *Store) Find(ctx context.Context, id string) (*Stored, error) {
	object, err := s.read(ctx, kindJobs, id)
	if err != nil {
		return nil, err
	}
	return s.takeOverPermitted(ctx, object)
}

// takeOverPermitted takes a job over, or returns ErrWithheld if Permit excludes it.
func (s *Store) takeOverPermitted(ctx context.Context, object metastore.Object) (*Stored, error) {
	var found record
	if err := json.Unmarshal(object.Spec, &found); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, object.Name, err)
	}
	if !s.permits(&found) {
		return nil, ErrWithheld
	}
	return s.takeOver(ctx, object)
}

// permits applies Permit to a job.
func (s *Store) permits(found *record) bool { return s.Permit == nil || s.Permit(&found.Job) }

// readTimeout bounds a read of one object: a store that is slow answers within some hundred milliseconds, and one whose answer was lost
// never does.
const readTimeout = 1500 * time.Millisecond

// read returns an object.
func (s *Store) read(ctx context.Context, kind, name string) (metastore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.client.Get(ctx, kind, name)
}

func encodeObject(name string, content any) (metastore.Object, error) {
	spec, err := json.Marshal(content)
	if err != nil {
		return metastore.Object{}, err
	}
	return metastore.Object{Name: name, Spec: spec}, nil
}

func encodeGob(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}

func decodeGob(content []byte, into any) error {
	return gob.NewDecoder(bytes.NewReader(content)).Decode(into)
}
