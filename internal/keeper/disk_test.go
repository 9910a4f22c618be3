package keeper

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
	"go.etcd.io/bbolt"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/covelink/covelink/coord/quorumlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testLimit = 8 << 20

func openDisk(t testing.TB, folder string, limit int64) *Disk {
	t.Helper()
	disk, err := OpenDisk(folder, limit)
	if err != nil {
		t.Fatal(err)
	}
	return disk
}

func closeDisk(t testing.TB, disk *Disk) {
	t.Helper()
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
}

var testEpoch = quorumlog.Epoch{Token: 1, Opening: 2}

// entries returns entries of a size from an index on.
func entries(from uint64, count, size int) []quorumlog.Entry {
	var made []quorumlog.Entry
	for offset := range uint64(count) {
		data := bytes.Repeat([]byte{byte(from + offset)}, size)
		made = append(made, quorumlog.Entry{Index: from + offset, Epoch: testEpoch, Kind: quorumlog.KindData, Data: data})
	}
	return made
}

func established(commit uint64) quorumlog.State {
	return quorumlog.State{Phase: quorumlog.PhaseEstablished, Incarnation: 3, Promised: testEpoch, Commit: commit}
}

// base is the update that establishes a log.
func base() quorumlog.Update {
	head := quorumlog.SnapshotHead{Members: []quorumlog.Member{{Name: "a", Incarnation: 3}}}
	return quorumlog.Update{State: established(0), Snapshot: &quorumlog.Snapshot{SnapshotHead: head}, CutAfter: quorumlog.KeepAll}
}

func adding(made []quorumlog.Entry) quorumlog.Update {
	return quorumlog.Update{State: established(0), CutAfter: quorumlog.KeepAll, Entries: made}
}

// content is all that a storage holds.
type content struct {
	Stored   quorumlog.Stored
	Entries  []quorumlog.Entry
	Snapshot []byte
}

func contentOf(storage quorumlog.Storage) (content, error) {
	stored, err := storage.Load()
	if err != nil {
		return content{}, err
	}
	found, err := storage.Entries(stored.Snapshot.Index+1, 1<<30)
	if err != nil {
		return content{}, err
	}
	data, err := storage.SnapshotData(0, 1<<30)
	return content{Stored: stored, Entries: found, Snapshot: data}, err
}

func TestDiskKeepsWhatMemoryKeeps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "keeper")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		disk, err := OpenDisk(folder, testLimit)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = disk.Close() }()
		model := &quorumlog.MemoryStorage{}
		first, last := uint64(0), uint64(0)
		updates := []quorumlog.Update{base()}
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			update := quorumlog.Update{State: established(0), CutAfter: quorumlog.KeepAll}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				update.CutAfter = rapid.Uint64Range(first, last).Draw(t, "cut")
				last = update.CutAfter
			case 1:
				first = rapid.Uint64Range(first, last+3).Draw(t, "snapshot")
				last = max(first, last)
				data := bytes.Repeat([]byte{7}, rapid.IntRange(0, 3*partBytes).Draw(t, "size"))
				update.Snapshot = &quorumlog.Snapshot{SnapshotHead: quorumlog.SnapshotHead{Index: first, Epoch: testEpoch}, Data: data}
			}
			update.Entries = entries(last+1, rapid.IntRange(0, 5).Draw(t, "count"), rapid.IntRange(1, 300).Draw(t, "bytes"))
			last += uint64(len(update.Entries))
			updates = append(updates, update)
		}
		for _, update := range updates {
			if err := errors.Join(model.Write(update), disk.Log("l").Write(update)); err != nil {
				t.Fatal(err)
			}
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
		if disk, err = OpenDisk(folder, testLimit); err != nil {
			t.Fatal(err)
		}
		want, _ := contentOf(model)
		got, err := contentOf(disk.Log("l"))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fmt.Sprintf("%+v", want), fmt.Sprintf("%+v", got)); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestLogsOfManyCallers(t *testing.T) {
	Convey("many logs written at once are all there after a restart", t, func() {
		folder := t.TempDir()
		disk := openDisk(t, folder, testLimit)
		var writing sync.WaitGroup
		for number := range 16 {
			writing.Go(func() {
				log := disk.Log(fmt.Sprint("log-", number))
				_ = log.Write(base())
				for index := range uint64(20) {
					_ = log.Write(adding(entries(index+1, 1, 100)))
				}
			})
		}
		writing.Wait()
		_, err := OpenDisk(folder, testLimit)
		So(errors.Is(err, ErrLocked), ShouldBeTrue)
		So(disk.Remove("log-3"), ShouldBeNil)
		closeDisk(t, disk)
		disk = openDisk(t, folder, testLimit)
		defer closeDisk(t, disk)
		names, err := disk.Names()
		So(err, ShouldBeNil)
		So(names, ShouldHaveLength, 15)
		for _, name := range names {
			found, err := contentOf(disk.Log(name))
			So(err, ShouldBeNil)
			So(found.Entries, ShouldHaveLength, 20)
		}
	})
}

func TestFormat(t *testing.T) {
	folder := t.TempDir()
	setFormat := func(version uint32) {
		disk := openDisk(t, folder, testLimit)
		err := disk.db.Update(func(tx *bbolt.Tx) error {
			return tx.Bucket(metaBucket).Put(formatKey, binary.BigEndian.AppendUint32(nil, version))
		})
		if err != nil {
			t.Fatal(err)
		}
		closeDisk(t, disk)
	}
	Convey("an older format is migrated", t, func() {
		setFormat(format - 1)
		migrated := 0
		migrations[format-1] = func(*bbolt.Tx) error { migrated++; return nil }
		defer delete(migrations, format-1)
		closeDisk(t, openDisk(t, folder, testLimit))
		closeDisk(t, openDisk(t, folder, testLimit))
		So(migrated, ShouldEqual, 1)
	})
	Convey("a newer format is refused and left alone", t, func() {
		setFormat(format + 1)
		_, err := OpenDisk(folder, testLimit)
		So(errors.Is(err, ErrFormat), ShouldBeTrue)
		_, err = OpenDisk(folder, testLimit)
		So(errors.Is(err, ErrFormat), ShouldBeTrue)
	})
}

func TestDiskIsBounded(t *testing.T) {
	Convey("a full folder refuses data, stays below its limit, and takes data again once it is cut", t, func() {
		const limit = 2 << 20
		folder := t.TempDir()
		disk := openDisk(t, folder, limit)
		defer closeDisk(t, disk)
		log := disk.Log("l")
		So(log.Write(base()), ShouldBeNil)
		for round := range 4 {
			stored, err := log.Load()
			So(err, ShouldBeNil)
			last := stored.Snapshot.Index + uint64(len(stored.Entries))
			for count := 0; err == nil; count++ {
				So(count, ShouldBeLessThan, limit/1024)
				if err = log.Write(adding(entries(last+1, 1, 4096))); err == nil {
					last++
				}
			}
			So(errors.Is(err, quorumlog.ErrFull), ShouldBeTrue)
			So(last, ShouldBeGreaterThan, 50*uint64(round+1))
			So(log.Write(quorumlog.Update{State: established(last), CutAfter: quorumlog.KeepAll}), ShouldBeNil)
			info, err := os.Stat(filepath.Join(folder, databaseFile))
			So(err, ShouldBeNil)
			So(info.Size(), ShouldBeLessThanOrEqualTo, limit)
			cut := &quorumlog.Snapshot{SnapshotHead: quorumlog.SnapshotHead{Index: last, Epoch: testEpoch}, Data: make([]byte, 1000)}
			So(log.Write(quorumlog.Update{State: established(last), Snapshot: cut, CutAfter: quorumlog.KeepAll}), ShouldBeNil)
		}
	})
	Convey("memory is bounded over all logs", t, func() {
		m := newMemory(10_000)
		So(m.log("a").Write(adding(entries(1, 1, 6000))), ShouldBeNil)
		So(errors.Is(m.log("b").Write(adding(entries(1, 1, 6000))), quorumlog.ErrFull), ShouldBeTrue)
		m.remove("a")
		So(m.log("b").Write(adding(entries(1, 1, 6000))), ShouldBeNil)
	})
}

// damaged opens a copy of the folder whose database was changed, and returns the log's content.
func damaged(t *testing.T, original []byte, change func([]byte) []byte) (content, bool, error) {
	folder := t.TempDir()
	path := filepath.Join(folder, databaseFile)
	if err := os.WriteFile(path, change(bytes.Clone(original)), fileMode); err != nil {
		t.Fatal(err)
	}
	disk, err := OpenDisk(folder, testLimit)
	if err != nil {
		return content{}, false, err
	}
	defer func() { _ = disk.Close() }()
	found, err := contentOf(disk.Log("l"))
	return found, disk.SetAside, err
}

func TestDamageIsNeverTakenForData(t *testing.T) {
	folder := t.TempDir()
	disk := openDisk(t, folder, testLimit)
	log := disk.Log("l")
	for _, update := range []quorumlog.Update{base(), adding(entries(1, 40, 500))} {
		if err := log.Write(update); err != nil {
			t.Fatal(err)
		}
	}
	cut := &quorumlog.Snapshot{SnapshotHead: quorumlog.SnapshotHead{Index: 10, Epoch: testEpoch}, Data: bytes.Repeat([]byte("s"), 2*partBytes)}
	if err := log.Write(quorumlog.Update{State: established(40), Snapshot: cut, CutAfter: quorumlog.KeepAll}); err != nil {
		t.Fatal(err)
	}
	whole, err := contentOf(log)
	if err != nil {
		t.Fatal(err)
	}
	closeDisk(t, disk)
	original, err := os.ReadFile(filepath.Join(folder, databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, found content, setAside bool, err error) (detected bool) {
		if err == nil && !setAside && !reflect.DeepEqual(found, whole) {
			t.Fatalf("%s: other content was read without an error", what)
		}
		if err != nil && !errors.Is(err, quorumlog.ErrCorrupt) {
			t.Fatalf("%s: %v", what, err)
		}
		return err != nil || setAside
	}

	t.Run("flipped bytes", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		detected := 0
		for range 200 {
			place := random.IntN(len(original))
			found, setAside, err := damaged(t, original, func(data []byte) []byte { data[place] ^= 0x55; return data })
			if check(fmt.Sprint("byte ", place), found, setAside, err) {
				detected++
			}
		}
		if detected < 30 {
			t.Fatal("too few flips met data: ", detected)
		}
	})
	t.Run("file cut short", func(t *testing.T) {
		for _, share := range []int{10, 50, 90} {
			found, setAside, err := damaged(t, original, func(data []byte) []byte { return data[:len(data)*share/100] })
			check(fmt.Sprint("cut to ", share), found, setAside, err)
		}
		if _, setAside, _ := damaged(t, original, func(data []byte) []byte { return data[:len(data)/10] }); !setAside {
			t.Fatal("a file cut to a tenth was used")
		}
	})
}
