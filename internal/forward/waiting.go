package forward

import (
	"sync"

	"github.com/covelink/covelink/internal/routing"
)

// waitingRoom holds the requests of this process that wait for a full service, so that the most urgent of them ask again first. It is safe
// for concurrent use.
type waitingRoom struct {
	mu       sync.Mutex
	services map[string]map[*job]routing.Rank
}

func newWaitingRoom() *waitingRoom {
	return &waitingRoom{services: make(map[string]map[*job]routing.Rank)}
}

// enter notes a request that waits; once more has no effect.
func (w *waitingRoom) enter(j *job, rank routing.Rank) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.services[j.service]
	if !ok {
		waiting = make(map[*job]routing.Rank)
		w.services[j.service] = waiting
	}
	waiting[j] = rank
}

// leave notes that a request waits no longer; it need not have waited.
func (w *waitingRoom) leave(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.services[j.service]
	delete(waiting, j)
	if len(waiting) == 0 {
		delete(w.services, j.service)
	}
}

// isNext reports whether no request that waits for the same service is more urgent.
func (w *waitingRoom) isNext(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.services[j.service]
	own := waiting[j]
	for _, rank := range waiting {
		if rank.Compare(own) < 0 {
			return false
		}
	}
	return true
}
