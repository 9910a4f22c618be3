package enginescale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/pause"
	"github.com/covelink/covelink/internal/permits"
)

// ordersSpec is the content of the stored object.
type ordersSpec struct {
	// Token is that of the term that wrote the object.
	Token int64 `json:"token"`
	// Desired is keyed by Subject.String.
	Desired map[string]int `json:"desired"`
	// Found is keyed likewise. Objects of earlier versions lack it; those versions ordered only what was found.
	Found map[string]int `json:"found,omitempty"`
}

// loadOrders reads the orders of earlier terms, retrying until the store answers. It returns false if a later term leads or ctx ends.
func (m *Manager) loadOrders(ctx context.Context, token int64) bool {
	for ctx.Err() == nil {
		err := m.readOrders(ctx, token)
		if err == nil {
			return true
		}
		level.Warn(m.Logger).Log("msg", "failed to read ordered engines", "err", err)
		if errors.Is(err, permits.ErrSuperseded) {
			return false
		}
		pause.For(ctx, retryDelay)
	}
	return false
}

func (m *Manager) readOrders(ctx context.Context, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := m.Store.Get(ctx, KindOrders, ordersName)
	if errors.Is(err, metastore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var spec ordersSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return fmt.Errorf("enginescale: decode orders: %w", err)
	}
	if spec.Token > token {
		return permits.ErrSuperseded
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, desired := range spec.Desired {
		subject, ok := parseSubject(name)
		if !ok {
			continue
		}
		m.orders.desired[subject], m.orders.found[subject] = desired, desired
		if found, exists := spec.Found[name]; exists {
			m.orders.found[subject] = found
		}
	}
	m.revision = object.Revision
	return nil
}

// parseSubject parses the result of Subject.String.
func parseSubject(name string) (subject Subject, ok bool) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return Subject{}, false
	}
	return Subject{Service: parts[1], Zone: parts[2]}, true
}

func bySubjectName(counts map[Subject]int) map[string]int {
	named := make(map[string]int, len(counts))
	for subject, count := range counts {
		named[subject.String()] = count
	}
	return named
}

// persist writes the orders on the condition that no other process has written them.
func (m *Manager) persist(ctx context.Context, token int64) error {
	m.mu.Lock()
	spec := ordersSpec{Token: token, Desired: bySubjectName(m.orders.desired), Found: bySubjectName(m.orders.found)}
	m.mu.Unlock()
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	write := m.Store.Replace
	if m.revision == 0 {
		write = m.Store.Create
	}
	stored, err := write(ctx, KindOrders, metastore.Object{Name: ordersName, Spec: content, Revision: m.revision})
	var conflict *metastore.ConflictError
	if errors.As(err, &conflict) {
		return m.resolveConflict(conflict.Current, token)
	}
	if err != nil {
		return err
	}
	m.revision = stored.Revision
	return nil
}

// errWrittenMeanwhile reports an object that has another revision than this process knew. The next write is conditional on the new one.
var errWrittenMeanwhile = errors.New("enginescale: orders written in the meantime")

// resolveConflict handles an object that was written in the meantime, by an earlier term or by this process in a write whose reply was lost.
// Without a later term it returns errWrittenMeanwhile.
func (m *Manager) resolveConflict(current metastore.Object, token int64) error {
	var spec ordersSpec
	if err := json.Unmarshal(current.Spec, &spec); err != nil {
		return fmt.Errorf("enginescale: decode orders: %w", err)
	}
	if spec.Token > token {
		return permits.ErrSuperseded
	}
	m.revision = current.Revision
	return errWrittenMeanwhile
}
