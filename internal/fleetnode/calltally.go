package fleetnode

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/pause"
)

// tallyInterval is the pause between two lines that tell the calls to the store: a line a process, so that the cost of a fault shows in
// the logs alone.
const tallyInterval = 10 * time.Second

// callTally counts the calls to the metadata store by what they are for. It is safe for concurrent use.
type callTally struct {
	mu sync.Mutex
	// counts are the calls since the last line, by operation and kind.
	counts map[string]int
}

func newCallTally() *callTally { return &callTally{counts: make(map[string]int)} }

func (t *callTally) add(operation, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[operation+"_"+kind]++
}

// take returns the counts in the order of their names, and starts anew.
func (t *callTally) take() (total int, counts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, purpose := range slices.Sorted(maps.Keys(t.counts)) {
		total += t.counts[purpose]
		counts = append(counts, fmt.Sprintf("%s:%d", purpose, t.counts[purpose]))
	}
	clear(t.counts)
	return total, counts
}

// run writes a line with the counts, where there are some, until ctx ends.
func (t *callTally) run(ctx context.Context, logger log.Logger) {
	for ctx.Err() == nil {
		pause.For(ctx, tallyInterval)
		if total, counts := t.take(); total > 0 {
			level.Info(logger).Log("msg", "store called", "calls", total, "by_purpose", strings.Join(counts, ","))
		}
	}
}

// kindFamily returns a kind without what tells one of many alike, such as the job whose results it holds: labels of metrics must be few.
func kindFamily(kind string) string {
	family, _, _ := strings.Cut(kind, ".")
	return family
}
