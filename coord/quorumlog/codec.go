package quorumlog

import (
	"encoding/binary"
	"fmt"
)

// recordFormat is the first byte of every encoded record.
const recordFormat = 1

// maxMembers bounds a decoded member set.
const maxMembers = 1024

// EncodeEntry returns the stored form of an entry. It has no checksum of its own.
func EncodeEntry(entry Entry) []byte {
	out := make([]byte, 0, entry.Size())
	out = append(out, recordFormat, byte(entry.Kind))
	out = binary.AppendUvarint(out, entry.Index)
	out = appendEpoch(out, entry.Epoch)
	out = appendMembers(out, entry.Members)
	return append(out, entry.Data...)
}

// DecodeEntry reverses EncodeEntry. The error wraps ErrCorrupt. The result does not refer to data.
func DecodeEntry(data []byte) (Entry, error) {
	d := newDecoder(data)
	entry := Entry{Kind: Kind(d.byte()), Index: d.uvarint(), Epoch: d.epoch(), Members: d.members()}
	if len(d.rest) > 0 {
		entry.Data = append([]byte(nil), d.rest...)
	}
	if d.failed || !entry.valid() {
		return Entry{}, fmt.Errorf("%w: entry", ErrCorrupt)
	}
	return entry, nil
}

// valid reports whether the entry holds what its kind says, no more and no less.
func (e Entry) valid() bool {
	switch e.Kind {
	case KindData:
		return len(e.Members) == 0
	case KindBarrier:
		return len(e.Members) == 0 && len(e.Data) == 0
	case KindMembers:
		return len(e.Members) > 0 && len(e.Members) <= maxMembers && len(e.Data) == 0
	}
	return false
}

// EncodeState returns the stored form of a state.
func EncodeState(state State) []byte {
	out := []byte{recordFormat, byte(state.Phase)}
	out = binary.AppendUvarint(out, state.Incarnation)
	out = appendEpoch(out, state.Promised)
	return binary.AppendUvarint(out, state.Commit)
}

// DecodeState reverses EncodeState. The error wraps ErrCorrupt.
func DecodeState(data []byte) (State, error) {
	d := newDecoder(data)
	state := State{Phase: Phase(d.byte()), Incarnation: d.uvarint(), Promised: d.epoch(), Commit: d.uvarint()}
	if d.failed || len(d.rest) > 0 || state.Phase > PhaseEstablished {
		return State{}, fmt.Errorf("%w: state", ErrCorrupt)
	}
	return state, nil
}

// EncodeSnapshotHead returns the stored form of a snapshot's description.
func EncodeSnapshotHead(head SnapshotHead) []byte {
	out := []byte{recordFormat}
	out = binary.AppendUvarint(out, head.Index)
	out = appendEpoch(out, head.Epoch)
	out = appendMembers(out, head.Members)
	return binary.AppendUvarint(out, uint64(head.Size))
}

// DecodeSnapshotHead reverses EncodeSnapshotHead. The error wraps ErrCorrupt.
func DecodeSnapshotHead(data []byte) (SnapshotHead, error) {
	d := newDecoder(data)
	head := SnapshotHead{Index: d.uvarint(), Epoch: d.epoch(), Members: d.members()}
	size := d.uvarint()
	if d.failed || len(d.rest) > 0 || size > maxStaged {
		return SnapshotHead{}, fmt.Errorf("%w: snapshot", ErrCorrupt)
	}
	head.Size = int(size)
	return head, nil
}

func appendEpoch(out []byte, epoch Epoch) []byte {
	out = binary.AppendUvarint(out, epoch.Token)
	return binary.AppendUvarint(out, epoch.Opening)
}

func appendMembers(out []byte, members []Member) []byte {
	out = binary.AppendUvarint(out, uint64(len(members)))
	for _, member := range members {
		out = binary.AppendUvarint(out, uint64(len(member.Name)))
		out = append(out, member.Name...)
		out = binary.AppendUvarint(out, member.Incarnation)
	}
	return out
}

// decoder reads a record; after a failure it returns zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func newDecoder(data []byte) *decoder {
	d := &decoder{rest: data}
	if d.byte() != recordFormat {
		d.failed = true
	}
	return d
}

func (d *decoder) byte() byte {
	if d.failed || len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	value := d.rest[0]
	d.rest = d.rest[1:]
	return value
}

func (d *decoder) uvarint() uint64 {
	value, length := binary.Uvarint(d.rest)
	if d.failed || length <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[length:]
	return value
}

func (d *decoder) epoch() Epoch { return Epoch{Token: d.uvarint(), Opening: d.uvarint()} }

func (d *decoder) members() []Member {
	count := d.uvarint()
	if count > maxMembers {
		d.failed = true
	}
	var members []Member
	for range count {
		length := d.uvarint()
		if d.failed || length > uint64(len(d.rest)) {
			d.failed = true
			return nil
		}
		name := string(d.rest[:length])
		d.rest = d.rest[length:]
		members = append(members, Member{Name: name, Incarnation: d.uvarint()})
	}
	return members
}
