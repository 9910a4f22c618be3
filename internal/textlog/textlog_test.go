package textlog_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/itemwork"
	"github.com/covelink/covelink/internal/textlog"
)

const limit = 1 << 20

func events(version int64, data ...string) []itemwork.Segment {
	return []itemwork.Segment{{Version: version, Events: data}}
}

func open(folder string) *textlog.Log {
	log, err := textlog.Open(folder, limit)
	So(err, ShouldBeNil)
	return log
}

func read(folder string) textlog.Restored {
	restored, err := textlog.Read(folder)
	So(err, ShouldBeNil)
	return restored
}

// newest returns the path of the newest file of a folder.
func newest(folder string) string {
	files, err := filepath.Glob(filepath.Join(folder, "texts-*.log"))
	So(err, ShouldBeNil)
	return files[len(files)-1]
}

func TestLog(t *testing.T) {
	Convey("Texts are read back as they were appended, over several processes", t, func() {
		folder := filepath.Join(t.TempDir(), "texts")
		So(read(folder).Texts, ShouldBeEmpty)
		first := open(folder)
		So(first.Append([]textlog.Entry{{Item: "a", Model: "m", Segments: events(1, "x", "y"), LastID: 2}, {Item: "b", Segments: events(1, "z"), LastID: 1}}), ShouldBeNil)
		So(first.Append([]textlog.Entry{{Item: "a", From: 2, Segments: events(2, "v"), LastID: 3}}), ShouldBeNil)
		So(first.Close(), ShouldBeNil)
		second := open(folder)
		So(second.Append([]textlog.Entry{{Item: "a", From: 3, Segments: events(2, "w"), LastID: 4, Whole: true}}), ShouldBeNil)
		restored := read(folder)
		So(restored.Damaged, ShouldEqual, 0)
		So(restored.Texts["b"], ShouldResemble, textlog.Text{Text: itemwork.Text{Segments: events(1, "z"), LastID: 1}})
		So(restored.Texts["a"], ShouldResemble, textlog.Text{Model: "m", Text: itemwork.Text{
			Segments: []itemwork.Segment{{Version: 1, Events: []string{"x", "y"}}, {Version: 2, Events: []string{"v", "w"}}},
			LastID:   4,
			Whole:    true,
		}})
	})
	Convey("A text that was begun anew replaces the one before; one of which a part is missing is not read back", t, func() {
		folder := t.TempDir()
		log := open(folder)
		So(log.Append([]textlog.Entry{{Item: "a", Segments: events(1, "x", "y"), LastID: 2}, {Item: "b", Segments: events(1, "x"), LastID: 1}}), ShouldBeNil)
		So(log.Append([]textlog.Entry{{Item: "a", Segments: events(2, "n"), LastID: 1}, {Item: "b", From: 5, Segments: events(1, "y"), LastID: 6}}), ShouldBeNil)
		So(read(folder).Texts, ShouldResemble, map[string]textlog.Text{"a": {Text: itemwork.Text{Segments: events(2, "n"), LastID: 1}}})
	})
	Convey("An entry of another text that has as many events does not continue a text, so that the texts of two runs are never joined", t, func() {
		folder := t.TempDir()
		log := open(folder)
		So(log.Append([]textlog.Entry{{Item: "a", Start: 1, Segments: events(1, "x", "y"), LastID: 2}}), ShouldBeNil)
		So(log.Append([]textlog.Entry{{Item: "a", Start: 2, Segments: events(1, "v", "w"), LastID: 2}}), ShouldBeNil)
		So(log.Append([]textlog.Entry{{Item: "a", Start: 1, From: 2, Segments: events(1, "z"), LastID: 3}}), ShouldBeNil)
		So(read(folder).Texts, ShouldBeEmpty)
		So(log.Append([]textlog.Entry{{Item: "a", Start: 3, Segments: events(1, "x"), LastID: 1}, {Item: "a", Start: 3, From: 1, Segments: events(1, "y"), LastID: 2}}), ShouldBeNil)
		So(read(folder).Texts, ShouldResemble, map[string]textlog.Text{"a": {Text: itemwork.Text{Segments: events(1, "x", "y"), LastID: 2}}})
	})
	Convey("Rewrite drops what was before, in files of earlier processes too, and leaves other files alone", t, func() {
		folder := t.TempDir()
		foreign := filepath.Join(folder, "texts-backup.log")
		So(os.WriteFile(foreign, []byte("not ours"), 0o600), ShouldBeNil)
		old := open(folder)
		So(old.Append([]textlog.Entry{{Item: "old", Segments: events(1, "x"), LastID: 1}}), ShouldBeNil)
		log := open(folder)
		So(log.Rewrite([]textlog.Entry{{Item: "new", Segments: events(1, "y"), LastID: 1}}), ShouldBeNil)
		So(read(folder).Texts, ShouldResemble, map[string]textlog.Text{"new": {Text: itemwork.Text{Segments: events(1, "y"), LastID: 1}}})
		_, err := os.Stat(foreign)
		So(err, ShouldBeNil)
	})
	Convey("Records that do not fit are refused as a whole", t, func() {
		folder := t.TempDir()
		log, err := textlog.Open(folder, 256)
		So(err, ShouldBeNil)
		large := textlog.Entry{Item: "a", Segments: events(1, string(make([]byte, 400))), LastID: 1}
		So(errors.Is(log.Append([]textlog.Entry{large}), textlog.ErrFull), ShouldBeTrue)
		So(read(folder).Texts, ShouldBeEmpty)
	})
}

func TestDamage(t *testing.T) {
	write := func(folder string) (before int64) {
		log := open(folder)
		So(log.Append([]textlog.Entry{{Item: "a", Segments: events(1, "x"), LastID: 1}}), ShouldBeNil)
		info, err := os.Stat(newest(folder))
		So(err, ShouldBeNil)
		So(log.Append([]textlog.Entry{{Item: "a", From: 1, Segments: events(1, "y"), LastID: 2}}), ShouldBeNil)
		So(log.Close(), ShouldBeNil)
		return info.Size()
	}
	intact := map[string]textlog.Text{"a": {Text: itemwork.Text{Segments: events(1, "x"), LastID: 1}}}
	Convey("Of a file that ends within a record, what comes before is read, wherever it ends", t, func() {
		for cut := int64(1); ; cut++ {
			folder := t.TempDir()
			before := write(folder)
			info, err := os.Stat(newest(folder))
			So(err, ShouldBeNil)
			if before+cut >= info.Size() {
				return
			}
			So(os.Truncate(newest(folder), before+cut), ShouldBeNil)
			restored := read(folder)
			So(restored.Texts, ShouldResemble, intact)
			So(restored.Damaged, ShouldEqual, 1)
		}
	})
	Convey("A record of which a byte has changed is not read, whichever byte it is", t, func() {
		folder := t.TempDir()
		before := write(folder)
		path := newest(folder)
		whole, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		for i := before; i < int64(len(whole)); i++ {
			changed := append([]byte(nil), whole...)
			changed[i] ^= 0x5a
			So(os.WriteFile(path, changed, 0o600), ShouldBeNil)
			So(read(folder).Texts, ShouldResemble, intact)
		}
	})
	Convey("A file of zeros, as a loss of power may leave it, holds nothing", t, func() {
		folder := t.TempDir()
		write(folder)
		So(os.WriteFile(newest(folder), make([]byte, 4096), 0o600), ShouldBeNil)
		restored := read(folder)
		So(restored.Texts, ShouldBeEmpty)
		So(restored.Damaged, ShouldEqual, 1)
	})
}
