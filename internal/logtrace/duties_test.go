package logtrace

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const dutyLog = `level=info ts=2026-07-10T12:00:00Z node=c-1 part=duties msg="duties begun" token=7
level=info ts=2026-07-10T12:00:04Z node=c-1 part=duties msg="engines ordered" service=pool zone=a desired=5 running=5 reason="as found" token=7 err=null
level=info ts=2026-07-10T12:00:08Z node=c-1 part=duties msg="usage reported" window=41 tenants=2 requests=9 token=7 after=2.6s err="duty: no response from platform"
level=info ts=2026-07-10T12:00:09Z node=c-1 part=duties msg="usage reported" window=41 tenants=2 requests=9 token=7 after=3.6s err=null
level=info ts=2026-07-10T12:00:13Z node=c-1 part=duties msg="usage reported" window=42 tenants=1 requests=3 token=7 after=2.5s err="duty: refused with status 429"
level=info ts=2026-07-10T12:00:14Z node=g-1 part=gateway msg="caller refused" request=r1 reason="unknown key" config=9 key_hash=0a1b2c3d
level=info ts=2026-07-10T12:00:15Z node=g-2 part=gateway msg="caller refused" request=r2 reason="unknown key" config=10 key_hash=0a1b2c3d
level=info ts=2026-07-10T12:00:15Z node=g-2 part=gateway msg="caller refused" request=r3 reason="no key" config=10
`

const dutyReport = `holders of the duties
  2026-07-10T12:00:00Z  c-1, token 7
windows of use
  window 41: 9 requests of 2 tenants, 2 attempts, last failure: duty: no response from platform, taken 3.6s after its end from c-1
  window 42: 3 requests of 1 tenants, 1 attempts, last failure: duty: refused with status 429, never taken
orders of engines
  2026-07-10T12:00:04Z  pool/a: 5 ordered, 5 ran, as found (taken)
refused callers
  2 times, unknown key with hash 0a1b2c3d, last 2026-07-10T12:00:15Z by configuration 10
  1 times, no key, last 2026-07-10T12:00:15Z by configuration 10
`

func TestDuties(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "log"), []byte(dutyLog), 0o600); err != nil {
		t.Fatal(err)
	}
	Convey("Holders, windows, orders and refused callers are told", t, func() {
		duties, err := ReadDuties(folder)
		So(err, ShouldBeNil)
		var out bytes.Buffer
		So(WriteDuties(&out, duties), ShouldBeNil)
		So(out.String(), ShouldEqual, dutyReport)
	})
	Convey("Logs without any say so", t, func() {
		_, err := ReadDuties(t.TempDir())
		So(err, ShouldEqual, ErrNoDuties)
	})
}
