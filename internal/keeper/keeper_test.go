package keeper

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/coord/quorumlog"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/settings"
)

const testLog = "trainer/t"

func testView(zones ...string) func(*cluster.View) *cluster.View {
	return func(*cluster.View) *cluster.View {
		return &cluster.View{
			Revision: 1, Serving: true,
			Pools:    map[string]*v1.Pool{"p": {Spec: v1.PoolSpec{PermittedZones: zones}}},
			Trainers: map[string]*v1.Trainer{"t": {Spec: v1.TrainerSpec{Pool: "p"}}},
		}
	}
}

func newKeeper(t *testing.T, folder string) (*Keeper, *cluster.Holder) {
	view := cluster.NewHolder()
	view.Update(testView("z"))
	k, err := New(Params{
		Self: cluster.Node{Name: "n", Zone: "z"}, Source: view, Logger: log.NewNopLogger(),
		Node: settings.Node{DataDir: folder, DataLimitBytes: testLimit},
	})
	if err != nil {
		t.Fatal(err)
	}
	return k, view
}

func step(t *testing.T, k *Keeper, message quorumlog.Request) quorumlog.Reply {
	t.Helper()
	message.Epoch = testEpoch
	reply, err := k.Step(Request{Log: testLog, Zones: []string{"z"}, Message: message})
	if err != nil {
		t.Fatal(err)
	}
	return reply.Message
}

// create makes the keeper the one member of a log with an entry, and returns its incarnation.
func create(t *testing.T, k *Keeper, text string) uint64 {
	incarnation := step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare}).Incarnation
	members := []quorumlog.Member{{Name: "n", Incarnation: incarnation}}
	step(t, k, quorumlog.Request{Op: quorumlog.OpPropose, Incarnation: incarnation, Members: members})
	step(t, k, quorumlog.Request{Op: quorumlog.OpEstablish, Incarnation: incarnation, Members: members})
	entry := quorumlog.Entry{Index: 1, Epoch: testEpoch, Kind: quorumlog.KindData, Data: []byte(text)}
	reply := step(t, k, quorumlog.Request{Op: quorumlog.OpAppend, Incarnation: incarnation, PrevEpoch: testEpoch, Entries: []quorumlog.Entry{entry}, Commit: 1})
	if reply.Status != quorumlog.StatusOK {
		t.Fatal("append: ", reply.Status)
	}
	return incarnation
}

func TestCorruptReplicaIsLost(t *testing.T) {
	Convey("a replica with a damaged record answers as one that lost its storage", t, func() {
		const text = "text that is found in the file"
		folder := t.TempDir()
		k, _ := newKeeper(t, folder)
		incarnation := create(t, k, text)
		So(k.Close(), ShouldBeNil)

		k, _ = newKeeper(t, folder)
		reply := step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare})
		So(reply.Status, ShouldEqual, quorumlog.StatusOK)
		So(reply.Incarnation, ShouldEqual, incarnation)
		So(reply.LastIndex, ShouldEqual, 1)
		So(k.Close(), ShouldBeNil)

		path := filepath.Join(folder, databaseFile)
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(os.WriteFile(path, bytes.ReplaceAll(data, []byte(text), bytes.ToUpper([]byte(text))), fileMode), ShouldBeNil)
		k, _ = newKeeper(t, folder)
		defer func() { _ = k.Close() }()
		reply = step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare})
		So(reply.Status, ShouldEqual, quorumlog.StatusUnknown)
		So(reply.Incarnation, ShouldNotEqual, incarnation)
	})
}

func TestDiscardAndSweep(t *testing.T) {
	for _, folder := range []string{"", t.TempDir()} {
		Convey("a copy is deleted, in folder "+map[bool]string{true: "memory", false: "disk"}[folder == ""], t, func() {
			k, view := newKeeper(t, folder)
			defer func() { _ = k.Close() }()
			incarnation := create(t, k, "x")

			Convey("by a writer with the highest epoch only", func() {
				answer, err := k.discard(Discard{Log: testLog})
				So(err, ShouldBeNil)
				So(answer.Done, ShouldBeFalse)
				answer, err = k.discard(Discard{Log: testLog, Epoch: testEpoch})
				So(err, ShouldBeNil)
				So(answer.Done, ShouldBeTrue)
				So(step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare}).Incarnation, ShouldNotEqual, incarnation)
			})
			Convey("when the zone has not been permitted for the retention", func() {
				now := time.Unix(1000, 0)
				k.sweep(now)
				view.Update(testView("other"))
				k.sweep(now)
				k.sweep(now.Add(retention - 1))
				view.Update(testView("z"))
				So(step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare}).Incarnation, ShouldEqual, incarnation)
				k.sweep(now.Add(retention - 1))
				view.Update(testView("other"))
				k.sweep(now.Add(retention))
				k.sweep(now.Add(2 * retention))
				view.Update(testView("z"))
				So(step(t, k, quorumlog.Request{Op: quorumlog.OpPrepare}).Incarnation, ShouldNotEqual, incarnation)
			})
		})
	}
}
