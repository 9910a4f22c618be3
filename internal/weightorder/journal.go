package weightorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
)

const (
	// KindJournals is the kind of the journal's object.
	KindJournals = "order-journals"
	// journalName is the name of the only journal.
	journalName = "orders"
	// orderWindow is how long after the start of the write that permits an order it may leave.
	orderWindow = 700 * time.Millisecond
	// permitTimeout bounds that write; an order without its answer is not given.
	permitTimeout = orderWindow
	// clockMargin is for timers that fire early or late.
	clockMargin = 100 * time.Millisecond
)

// ErrLost reports that a process with a later term gives the orders.
var ErrLost = errors.New("weightorder: a later term gives the orders")

// journal records in the store, before each order, for which engine it is. Its object is changed on the condition of its
// revision and bears the term's token.
//
// Guarantees: after a journal of a later term was opened, no earlier one permits an order; and an order that another process
// may have given to an engine is a lease length old before this one permits one to the same engine. Only that engine waits.
type journal struct {
	client      metastore.Client
	holder      string
	token       int64
	leaseLength time.Duration

	// turn holds one token, taken by whoever calls the store.
	turn chan struct{}
	// revision is the object's as this process last knew it; zero if it must be read. It belongs to whoever has the turn.
	revision metastore.Revision

	mu sync.Mutex
	// orders are the newest permitted orders by engine.
	orders map[string]permitted
}

// permitted is an order that may have been given.
type permitted struct {
	holder string
	at     time.Time
}

// journalSpec is the object's content.
type journalSpec struct {
	Token  int64                  `json:"token"`
	Orders map[string]orderRecord `json:"orders"`
}

// orderRecord is a permitted order in the store.
type orderRecord struct {
	Holder string `json:"holder"`
	// AgeMillis is how long before the write the order was permitted, in milliseconds. Clocks of different machines need not
	// agree: a reader counts it from when it reads.
	AgeMillis int64 `json:"ageMillis"`
}

// newJournal returns the journal of a term. Its first permit takes the object over.
func newJournal(client metastore.Client, holder string, token int64, leaseLength time.Duration) *journal {
	return &journal{
		client:      client,
		holder:      holder,
		token:       token,
		leaseLength: leaseLength,
		turn:        make(chan struct{}, 1),
		orders:      make(map[string]permitted),
	}
}

// memory is how long an order of another process matters.
func (j *journal) memory() time.Duration { return j.leaseLength + orderWindow + clockMargin }

// permit records orders to engines. It returns those that may be given, until the deadline; the others have to wait. ErrLost if
// a later term gives the orders.
func (j *journal) permit(ctx context.Context, engines []string) (allowed []string, deadline time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	select {
	case j.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, time.Time{}, ctx.Err()
	}
	defer func() { <-j.turn }()
	if j.revision == 0 {
		if err := j.open(ctx); err != nil {
			return nil, time.Time{}, err
		}
	}
	started := time.Now()
	allowed = j.note(engines, started)
	if len(allowed) == 0 {
		return nil, time.Time{}, nil
	}
	if err := j.write(ctx, started); err != nil {
		return nil, time.Time{}, err
	}
	return allowed, started.Add(orderWindow), nil
}

// note takes in orders to those engines that need not wait, and returns them.
func (j *journal) note(engines []string, now time.Time) (allowed []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range engines {
		if j.waits(id, now) {
			continue
		}
		allowed = append(allowed, id)
		j.orders[id] = permitted{holder: j.holder, at: now}
	}
	return allowed
}

// mayOrder reports whether an engine need not wait for the order of another process to grow old.
func (j *journal) mayOrder(engine string, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.waits(engine, now)
}

// waits is the opposite of mayOrder. The mutex must be held.
func (j *journal) waits(engine string, now time.Time) bool {
	order, ok := j.orders[engine]
	return ok && order.holder != j.holder && now.Sub(order.at) < j.memory()
}

// takeOver opens the journal, as often as it takes, until ctx ends.
func (j *journal) takeOver(ctx context.Context) {
	for ctx.Err() == nil {
		if _, _, err := j.permit(ctx, nil); err == nil || errors.Is(err, ErrLost) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// open reads the object and writes it under the term's token.
func (j *journal) open(ctx context.Context) error {
	object, err := j.client.Get(ctx, KindJournals, journalName)
	if errors.Is(err, metastore.ErrNotFound) {
		return j.create(ctx)
	}
	if err != nil {
		return err
	}
	if err := j.take(object); err != nil {
		return err
	}
	return j.write(ctx, time.Now())
}

func (j *journal) create(ctx context.Context) error {
	object, err := j.encode(time.Now())
	if err != nil {
		return err
	}
	object, err = j.client.Create(ctx, KindJournals, object)
	if err != nil {
		return err
	}
	j.revision = object.Revision
	return nil
}

// take reads what others have recorded.
func (j *journal) take(object metastore.Object) error {
	var spec journalSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return fmt.Errorf("weightorder: journal: %w", err)
	}
	if spec.Token > j.token {
		return ErrLost
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for id, record := range spec.Orders {
		at := now.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
		if known, ok := j.orders[id]; !ok || known.at.Before(at) {
			j.orders[id] = permitted{holder: record.Holder, at: at}
		}
	}
	j.revision = object.Revision
	return nil
}

// write replaces the object. After an error the object is read again before the next write.
func (j *journal) write(ctx context.Context, now time.Time) error {
	object, err := j.encode(now)
	if err != nil {
		return err
	}
	object.Revision = j.revision
	j.revision = 0
	stored, err := j.client.Replace(ctx, KindJournals, object)
	if err != nil {
		return err
	}
	j.revision = stored.Revision
	return nil
}

// encode returns the object without the orders that matter no longer.
func (j *journal) encode(now time.Time) (metastore.Object, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	spec := journalSpec{Token: j.token, Orders: make(map[string]orderRecord, len(j.orders))}
	for id, order := range j.orders {
		age := now.Sub(order.at)
		if age > j.memory() {
			delete(j.orders, id)
			continue
		}
		spec.Orders[id] = orderRecord{Holder: order.holder, AgeMillis: age.Milliseconds()}
	}
	content, err := json.Marshal(spec)
	if err != nil {
		return metastore.Object{}, err
	}
	return metastore.Object{Name: journalName, Spec: content}, nil
}
