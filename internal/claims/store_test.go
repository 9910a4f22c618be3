package claims

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
	bolt "go.etcd.io/bbolt"

	"github.com/covelink/covelink/internal/cluster"
)

func TestStore(t *testing.T) {
	Convey("A reopened file returns the committed writes", t, func() {
		folder := t.TempDir()
		s, content, err := openStore(folder)
		So(err, ShouldBeNil)
		So(content.tableComplete, ShouldBeFalse)
		until := time.Unix(50, 0).UTC()
		kept := runningRecord("a", 3)
		kept.Expires = until
		gone := Key{Key: "gone"}
		history := keeperSetHistory{testPool: {{Members: []string{"n"}}}}
		steps := []write{
			{changes: []change{{key: modelKey, record: &kept}, {key: gone, record: &kept}}, tableComplete: true},
			{changes: []change{{key: gone}, {tombstone: "b", until: until}}, history: history},
			{changes: []change{{tombstone: "c", until: until}, {tombstone: "c"}}},
		}
		for _, step := range steps {
			So(<-s.enqueue(step), ShouldBeNil)
		}
		So(s.close(), ShouldBeNil)
		So(<-s.enqueue(write{tableComplete: true}), ShouldEqual, errStoreClosed)

		s, content, err = openStore(folder)
		So(err, ShouldBeNil)
		So(content.tableComplete, ShouldBeTrue)
		So(content.history, ShouldResemble, history)
		So(len(content.changes), ShouldEqual, 2)
		So(content.changes[0].key, ShouldResemble, modelKey)
		So(cmp.Diff(kept, *content.changes[0].record), ShouldBeEmpty)
		So(content.changes[1].tombstone, ShouldEqual, "b")
		So(s.close(), ShouldBeNil)

		damage := func(change func(tx *bolt.Tx) error) {
			db, err := bolt.Open(filepath.Join(folder, storeFile), storeMode, nil)
			So(err, ShouldBeNil)
			So(db.Update(change), ShouldBeNil)
			So(db.Close(), ShouldBeNil)
		}
		Convey("an entry with a wrong checksum is detected and the file is renamed", func() {
			damage(func(tx *bolt.Tx) error {
				bucket := tx.Bucket(bucketRecords)
				value := append([]byte(nil), bucket.Get(diskKey(modelKey))...)
				value[len(value)-1] ^= 1
				return bucket.Put(diskKey(modelKey), value)
			})
			_, _, err := openStore(folder)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
			manager, err := New(Params{DataDir: folder, Source: cluster.NewHolder()})
			So(err, ShouldBeNil)
			So(manager.keeper.isTableComplete(), ShouldBeFalse)
			So(manager.close(), ShouldBeNil)
			files, err := os.ReadDir(folder)
			So(err, ShouldBeNil)
			So(len(files), ShouldEqual, 2)
		})
		Convey("a file of an unsupported format version is refused", func() {
			damage(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFormat, []byte{storeFormat + 1}) })
			_, err := New(Params{DataDir: folder, Source: cluster.NewHolder()})
			So(errors.Is(err, ErrFormat), ShouldBeTrue)
		})
		Convey("a file that is not a bbolt database is reported as corrupt", func() {
			So(os.WriteFile(filepath.Join(folder, storeFile), make([]byte, 1<<16), 0o600), ShouldBeNil)
			_, _, err := openStore(folder)
			So(errors.Is(err, ErrCorrupt), ShouldBeTrue)
		})
	})
}

func TestAnswerEviction(t *testing.T) {
	Convey("Answers beyond MaxAnswerBytes are evicted, oldest first, and their outcomes stay", t, func() {
		now := time.Unix(1, 0)
		r := NewTable(Limits{Retention: time.Minute, MaxEntries: 10, MaxAnswerBytes: 400})
		for _, id := range []string{"a", "b", "c"} {
			r.Update(now, Key{Key: id}, Record{ID: id, State: StateFinished, Stored: completedWith("text")})
		}
		So(r.AnswerBytes(), ShouldBeLessThanOrEqualTo, 400)
		oldest, _ := r.lookup(now, Key{Key: "a"})
		So(oldest.State, ShouldEqual, StateFinished)
		So(oldest.Stored.Answer, ShouldBeNil)
		newest, _ := r.lookup(now, Key{Key: "c"})
		So(newest.Stored.Answer, ShouldNotBeNil)
		changes := r.Sweep(now.Add(time.Minute), func(string) bool { return true })
		So(len(changes), ShouldEqual, 3)
		So(r.Entries(), ShouldEqual, 0)
		So(r.AnswerBytes(), ShouldEqual, 0)
	})
}
