package configsync

import (
	"bytes"
	"context"
	"errors"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/rpc"
)

var _ resourceapi.Backend = (*Manager)(nil)

// observe returns what the node knows now.
func (m *Manager) observe() observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observeLocked()
}

func (m *Manager) observeLocked() observation {
	state := m.replica.State()
	return observation{state: state, index: m.index, engines: enginesOf(state.Inventories), nodes: m.nodes, since: m.since}
}

// read returns the objects of a kind with their statuses, sorted by name. The caller owns them.
func (o observation) read(kind v1.Kind) []v1.Object {
	objects := []v1.Object{}
	for _, raw := range o.state.Objects {
		if raw.Kind != kind {
			continue
		}
		if object, err := v1.DecodeRaw(raw); err == nil {
			objects = append(objects, o.fill(object))
		}
	}
	return objects
}

// List implements resourceapi.Backend from the node's view.
func (m *Manager) List(_ context.Context, kind v1.Kind) ([]v1.Object, uint64, error) {
	seen := m.observe()
	return seen.read(kind), seen.state.Revision, nil
}

// Get implements resourceapi.Backend from the node's view.
func (m *Manager) Get(_ context.Context, kind v1.Kind, name string) (v1.Object, error) {
	seen := m.observe()
	for _, raw := range seen.state.Objects {
		if raw.Kind != kind || raw.Metadata.Name != name {
			continue
		}
		object, err := v1.DecodeRaw(raw)
		if err != nil {
			return nil, v1.Errorf(v1.CodeInternal, "%s %q cannot be decoded", kind, name)
		}
		return seen.fill(object), nil
	}
	return nil, errNotFound(kind, name)
}

// Stored implements resourceapi.Backend through the zone's coordinator.
func (m *Manager) Stored(ctx context.Context, kind v1.Kind, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, m.params.Timing.RequestTimeout)
	defer cancel()
	reply, err := m.askReadBack(ctx, writeRequest{Object: v1.RawObject{Kind: kind, Metadata: v1.ObjectMeta{Name: name}}})
	return reply.Found, err
}

// Create implements resourceapi.Backend through the zone's coordinator.
func (m *Manager) Create(ctx context.Context, object v1.Object) (v1.Object, error) {
	return m.writeObject(ctx, OperationCreate, object)
}

// Update implements resourceapi.Backend through the zone's coordinator.
func (m *Manager) Update(ctx context.Context, object v1.Object) (v1.Object, error) {
	return m.writeObject(ctx, OperationUpdate, object)
}

// Delete implements resourceapi.Backend through the zone's coordinator.
func (m *Manager) Delete(ctx context.Context, kind v1.Kind, name, resourceVersion string) error {
	object := v1.RawObject{Kind: kind, Metadata: v1.ObjectMeta{Name: name, ResourceVersion: resourceVersion}}
	_, err := m.forward(ctx, writeRequest{Operation: OperationDelete, Object: object})
	return err
}

func (m *Manager) writeObject(ctx context.Context, op Operation, object v1.Object) (v1.Object, error) {
	raw, err := v1.EncodeRaw(object)
	if err != nil {
		return nil, v1.NotRun(v1.CodeInvalid, 0, "resource cannot be encoded")
	}
	reply, err := m.forward(ctx, writeRequest{Operation: op, Object: raw})
	if err != nil {
		return nil, err
	}
	stored, err := v1.DecodeRaw(reply.Object)
	if err != nil {
		return nil, &v1.Error{Code: v1.CodeInternal, Message: "stored resource cannot be decoded", Outcome: v1.OutcomeCompleted}
	}
	return m.observe().fill(stored), nil
}

// serveWrite executes a write on the coordinator.
func (m *Manager) serveWrite(ctx context.Context, peer rpc.Peer, request writeRequest) (writeReply, error) {
	if err := m.checkZone(peer); err != nil {
		return writeReply{}, err
	}
	if !m.leading() {
		return writeReply{}, m.errNotCoordinator()
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, StoreTimeout(time.Until(deadline)))
		defer cancel()
	}
	stored, err := m.execute(ctx, request)
	if err != nil {
		return writeReply{}, storeError(err, request.Object)
	}
	return writeReply{Object: stored}, nil
}

func (m *Manager) execute(ctx context.Context, request writeRequest) (v1.RawObject, error) {
	object := request.Object
	switch request.Operation {
	case OperationCreate:
		object.Metadata.Generation = 1
		object.Metadata.FormerZones = nil
		object.Metadata.ResourceVersion = ""
		return m.params.Store.Create(ctx, object)
	case OperationUpdate:
		return m.update(ctx, object)
	case OperationDelete:
		return v1.RawObject{}, m.params.Store.Delete(ctx, object.Kind, object.Metadata.Name, object.Metadata.ResourceVersion)
	}
	return v1.RawObject{}, objectapi.ErrInvalid
}

// update reads the current object for its generation; the store refuses the write if it has changed since.
func (m *Manager) update(ctx context.Context, object v1.RawObject) (v1.RawObject, error) {
	current, err := m.params.Store.Get(ctx, object.Kind, object.Metadata.Name)
	if err != nil {
		return v1.RawObject{}, err
	}
	if current.Metadata.ResourceVersion != object.Metadata.ResourceVersion {
		return v1.RawObject{}, objectapi.ErrConflict
	}
	return m.params.Store.Update(ctx, PrepareUpdate(m.observe().state, current, object))
}

// sameSpec compares the specs as this program encodes them, since the store may keep another spelling.
func sameSpec(a, b v1.RawObject) bool {
	left, leftErr := recode(a)
	right, rightErr := recode(b)
	return leftErr == nil && rightErr == nil && bytes.Equal(left, right)
}

func recode(raw v1.RawObject) ([]byte, error) {
	object, err := v1.DecodeRaw(raw)
	if err != nil {
		return nil, err
	}
	encoded, err := v1.EncodeRaw(object)
	return encoded.Spec, err
}

func storeError(err error, object v1.RawObject) *v1.Error {
	name := object.Metadata.Name
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return v1.Errorf(v1.CodeConflict, "%s %q exists or has changed", object.Kind, name)
	case errors.Is(err, objectapi.ErrNotFound):
		return errNotFound(object.Kind, name)
	case errors.Is(err, objectapi.ErrUnavailable):
		return v1.NotRun(v1.CodeUnavailable, retryAfterUnavailable, "the store is unavailable")
	case errors.Is(err, objectapi.ErrInvalid):
		return v1.NotRun(v1.CodeInvalid, 0, "the store refused %s %q", object.Kind, name)
	}
	return unknownOutcome("the store did not confirm the write")
}

func errNotFound(kind v1.Kind, name string) *v1.Error {
	return v1.Errorf(v1.CodeNotFound, "%s %q does not exist", kind, name)
}

func unknownOutcome(message string) *v1.Error {
	return &v1.Error{Code: v1.CodeUnavailable, Message: message, Outcome: v1.OutcomeUnknown}
}
