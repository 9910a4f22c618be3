package batchrpc

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/covelink/covelink/internal/batch"
)

const (
	// partBytes is the size above which items are staged, and about the size of a part.
	partBytes = 1 << 20
	// stageTimeout is how long staged items are kept after the last part: a submission sends them one after the other.
	stageTimeout = 2 * submitTimeout
)

// staging holds the items of jobs that are being submitted in parts. It is safe for concurrent use.
type staging struct {
	room *semaphore.Weighted

	mu      sync.Mutex
	uploads map[string]*upload
}

// upload is what was staged of one submission.
type upload struct {
	items  []batch.Item
	parts  int
	bytes  int64
	expiry *time.Timer
}

func newStaging(maxBytes int64) *staging {
	return &staging{room: semaphore.NewWeighted(maxBytes), uploads: make(map[string]*upload)}
}

// add stages a part. It returns ErrFull if there is no room.
func (s *staging) add(request StageRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(request.Items) == 0 {
		s.drop(request.Upload)
		return nil
	}
	known := s.uploads[request.Upload]
	if known == nil {
		known = &upload{expiry: time.AfterFunc(stageTimeout, func() { s.expire(request.Upload) })}
		s.uploads[request.Upload] = known
	}
	if request.Part != known.parts {
		return errNotStaged
	}
	size := batch.SizeOf(request.Items)
	if !s.room.TryAcquire(size) {
		s.drop(request.Upload)
		return batch.ErrFull
	}
	known.items = append(known.items, request.Items...)
	known.parts++
	known.bytes += size
	known.expiry.Reset(stageTimeout)
	return nil
}

// expire drops what was staged by a submission that went no further.
func (s *staging) expire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(name)
}

// drop gives the room of a submission back. The mutex must be held.
func (s *staging) drop(name string) {
	if known := s.uploads[name]; known != nil {
		known.expiry.Stop()
		s.room.Release(known.bytes)
		delete(s.uploads, name)
	}
}

// complete adds the staged items to a job, which takes them over.
func (s *staging) complete(request *SubmitRequest) error {
	if request.Upload == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.uploads[request.Upload]
	if known == nil || known.parts != request.Parts {
		return errNotStaged
	}
	request.Job.Items = append(known.items, request.Job.Items...)
	s.drop(request.Upload)
	return nil
}

// split divides the items of a job into parts of about partBytes, for messages, and the rest that goes with the job itself.
func split(items []batch.Item) (parts [][]batch.Item, rest []batch.Item) {
	began, size := 0, int64(0)
	for i := range items {
		size += items[i].Size()
		if size >= partBytes {
			parts = append(parts, slices.Clip(items[began:i+1]))
			began, size = i+1, 0
		}
	}
	return parts, items[began:]
}
