package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/leadership"
	"github.com/covelink/covelink/internal/objectapi"
	"github.com/covelink/covelink/internal/rpc"
)

// forward sends a write to the zone's coordinator. Its errors are *v1.Error. A write whose reply is lost is read back by its
// write ID, through whichever node then coordinates, until its fate is known or ctx ends.
func (m *Manager) forward(ctx context.Context, request writeRequest) (writeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.params.Timing.RequestTimeout)
	defer cancel()
	holder, ok := m.params.Elector.Holder(leadership.ZoneLease(m.self.Zone))
	if !ok {
		return writeReply{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnavailable, "zone %s has no coordinator", m.self.Zone)
	}
	request.Object.Metadata.WriteID = uuid.NewString()
	if holder.Name == m.self.Name {
		return m.serveWrite(ctx, rpc.Peer{Name: m.self.Name, Zone: m.self.Zone}, request)
	}
	calling, cancelCall := context.WithTimeout(ctx, ForwardTimeout(m.params.Timing.RequestTimeout))
	defer cancelCall()
	reply, err := rpc.Call[writeRequest, writeReply](calling, m.params.Client, holder.Address, request)
	if err == nil {
		return reply, nil
	}
	var typed *v1.Error
	switch {
	case errors.As(err, &typed) && typed.Outcome != v1.OutcomeUnknown:
		return writeReply{}, typed
	case errors.Is(err, rpc.ErrNotSent):
		return writeReply{}, v1.NotRun(v1.CodeUnavailable, retryAfterUnavailable, "coordinator %s cannot be reached", holder.Name)
	}
	return m.readBack(ctx, request)
}

// readBack asks for the object of a write until it tells the write's fate.
func (m *Manager) readBack(ctx context.Context, request writeRequest) (writeReply, error) {
	for {
		current, err := m.askReadBack(ctx, request)
		if err == nil {
			switch JudgeWrite(request.Operation, request.Object, current.Object, current.Found) {
			case FateDone:
				return writeReply{Object: current.Object}, nil
			case FateUnknown:
				return writeReply{}, unknownOutcome("the coordinator's answer was lost, and the resource has been written by another since")
			}
		}
		timer := time.NewTimer(m.params.Timing.LeaseLength / tickFraction)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return writeReply{}, unknownOutcome("the coordinator's answer was lost, and the write could not be read back")
		}
	}
}

func (m *Manager) askReadBack(ctx context.Context, request writeRequest) (readBackReply, error) {
	holder, ok := m.params.Elector.Holder(leadership.ZoneLease(m.self.Zone))
	if !ok {
		return readBackReply{}, m.errNotCoordinator()
	}
	// A coordinator that has died must not hold the question for as long as the caller waits.
	ctx, cancel := context.WithTimeout(ctx, m.params.Timing.LeaseLength)
	defer cancel()
	question := readBackRequest{Key: keyOf(request.Object)}
	if holder.Name == m.self.Name {
		return m.serveReadBack(ctx, rpc.Peer{Name: m.self.Name, Zone: m.self.Zone}, question)
	}
	return rpc.Call[readBackRequest, readBackReply](ctx, m.params.Client, holder.Address, question)
}

// Fate is what reading an object back tells of a write.
type Fate int

const (
	// FateOpen: the write has not taken effect, but may yet.
	FateOpen Fate = iota
	FateDone
	// FateUnknown: another write has covered what this one did, if it did anything.
	FateUnknown
)

// JudgeWrite tells the fate of a write whose reply was lost from the object as the store has it, if it is there. A create that
// is not there may yet be stored, or be deleted already.
func JudgeWrite(operation Operation, written, current v1.RawObject, found bool) Fate {
	version, id := written.Metadata.ResourceVersion, written.Metadata.WriteID
	unchanged := found && current.Metadata.ResourceVersion == version
	switch {
	case operation == OperationDelete && !found:
		return FateDone
	case operation == OperationDelete && (unchanged || version == ""):
		return FateOpen
	case found && current.Metadata.WriteID == id:
		return FateDone
	case unchanged, operation == OperationCreate && !found:
		return FateOpen
	}
	return FateUnknown
}

// serveReadBack reads an object from the store on the coordinator.
func (m *Manager) serveReadBack(ctx context.Context, peer rpc.Peer, request readBackRequest) (readBackReply, error) {
	if err := m.checkZone(peer); err != nil {
		return readBackReply{}, err
	}
	if !m.leading() {
		return readBackReply{}, m.errNotCoordinator()
	}
	object, err := m.params.Store.Get(ctx, request.Key.Kind, request.Key.Name)
	switch {
	case err == nil:
		return readBackReply{Found: true, Object: object}, nil
	case errors.Is(err, objectapi.ErrNotFound):
		return readBackReply{}, nil
	}
	return readBackReply{}, storeError(err, v1.RawObject{Kind: request.Key.Kind, Metadata: v1.ObjectMeta{Name: request.Key.Name}})
}

func (m *Manager) leading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term != nil
}
