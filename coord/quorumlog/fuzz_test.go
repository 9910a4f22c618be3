package quorumlog

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

func FuzzDecodeRecords(f *testing.F) {
	members := []Member{{Name: "a", Incarnation: 1 << 60}, {Name: "b"}}
	f.Add(EncodeEntry(Entry{Index: 3, Epoch: Epoch{1, 2}, Kind: KindData, Data: []byte("data")}))
	f.Add(EncodeEntry(Entry{Index: 3, Epoch: Epoch{1, 2}, Kind: KindMembers, Members: members}))
	f.Add(EncodeState(State{Phase: PhaseEstablished, Incarnation: 7, Promised: Epoch{1, 2}, Commit: 9}))
	f.Add(EncodeSnapshotHead(SnapshotHead{Index: 3, Epoch: Epoch{1, 2}, Members: members, Size: 10}))
	f.Fuzz(func(t *testing.T, data []byte) {
		decodeTwice(t, data, DecodeEntry, EncodeEntry)
		decodeTwice(t, data, DecodeState, EncodeState)
		decodeTwice(t, data, DecodeSnapshotHead, EncodeSnapshotHead)
	})
}

// decodeTwice shows that what is decoded is encoded to the same again, and that other data is ErrCorrupt.
func decodeTwice[T any](t *testing.T, data []byte, decode func([]byte) (T, error), encode func(T) []byte) {
	first, err := decode(data)
	if err != nil {
		if !errors.Is(err, ErrCorrupt) {
			t.Fatal(err)
		}
		return
	}
	second, err := decode(encode(first))
	if err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("%+v became %+v, %v", first, second, err)
	}
}

func encodeRequest(request Request) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(request); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// FuzzStep hands any message to a replica that holds a log. The replica must not panic, break its promise or change what
// is committed, and its storage must stay readable.
func FuzzStep(f *testing.F) {
	epoch := Epoch{Token: 5}
	entry := Entry{Index: 4, Epoch: epoch, Kind: KindData, Data: []byte("four")}
	for op := OpPrepare; op <= OpInstall+1; op++ {
		f.Add(encodeRequest(Request{
			Op: op, Epoch: epoch, Incarnation: 1, Members: []Member{{Name: "a"}}, PrevIndex: 3, PrevEpoch: Epoch{Token: 4},
			Entries: []Entry{entry}, Commit: 4, From: 2, MaxBytes: 100,
			Snapshot: SnapshotHead{Index: 2, Epoch: Epoch{Token: 4}, Size: 1}, Chunk: []byte("s"),
		}))
	}
	f.Add(encodeRequest(Request{Op: OpAppend, Epoch: epoch, Incarnation: 1, PrevIndex: ^uint64(0), Entries: []Entry{{Epoch: epoch, Kind: KindBarrier}}}))
	f.Add(encodeRequest(Request{Op: OpInstall, Epoch: epoch, Incarnation: 1, Snapshot: SnapshotHead{Index: 1 << 62}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request Request
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&request) != nil {
			return
		}
		storage := &MemoryStorage{}
		replica, _ := NewReplica(storage, 1)
		old := Epoch{Token: 4}
		members := []Member{{Name: "a", Incarnation: 1}}
		replica.Step(Request{Op: OpPropose, Epoch: old, Incarnation: 1, Members: members})
		replica.Step(Request{Op: OpEstablish, Epoch: old, Incarnation: 1, Members: members})
		replica.Step(Request{Op: OpAppend, Epoch: old, Incarnation: 1, PrevEpoch: old, Commit: 2, Entries: []Entry{
			{Index: 1, Epoch: old, Kind: KindBarrier}, {Index: 2, Epoch: old, Kind: KindData, Data: []byte("two")},
			{Index: 3, Epoch: old, Kind: KindData, Data: []byte("three")},
		}})
		reply := replica.Step(request)
		if reply.Promised.Compare(old) < 0 {
			t.Fatal("promise broken: ", reply.Promised)
		}
		stored, _ := storage.Load()
		if fmt.Sprintf("%+v", stored) != fmt.Sprintf("%+v", replica.stored) {
			t.Fatalf("stored %+v, in memory %+v", stored, replica.stored)
		}
		if two, _ := storage.Entries(2, 1); stored.Snapshot.Index < 2 && (len(two) == 0 || string(two[0].Data) != "two") {
			t.Fatal("a committed entry changed")
		}
	})
}
