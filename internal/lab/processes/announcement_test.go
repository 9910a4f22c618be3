package processes

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnnouncement(t *testing.T) {
	Convey("Addresses are found in the logs of nodes and of stand-ins, however the bytes are split", t, func() {
		for log, want := range map[string]addresses{
			"level=info part=node msg=draining\nlevel=info part=node msg=started node=a zone=z http=127.0.0.1:1 internal=127.0.0.1:2\nmore\n": {http: "127.0.0.1:1", internal: "127.0.0.1:2"},
			"level=info part=lab msg=serving standin=engine url=http://127.0.0.1:3\n":                                                         {http: "127.0.0.1:3"},
		} {
			for _, size := range []int{1, 7, len(log)} {
				var passed bytes.Buffer
				writer := newAnnouncementWriter(&passed)
				for rest := []byte(log); len(rest) > 0; rest = rest[min(size, len(rest)):] {
					_, err := writer.Write(rest[:min(size, len(rest))])
					So(err, ShouldBeNil)
				}
				So(<-writer.announced, ShouldResemble, want)
				So(passed.String(), ShouldEqual, log)
			}
		}
	})
	Convey("A log without an announcement gives none", t, func() {
		_, found := parseAnnouncement(`level=info part=lab msg="not serving" url=http://127.0.0.1:3`)
		So(found, ShouldBeFalse)
	})
}
