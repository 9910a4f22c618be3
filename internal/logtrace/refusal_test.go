package logtrace

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTraceOfRefusal guards against a refusal under load whose trace does not tell which tenant's requests were in the way.
func TestTraceOfRefusal(t *testing.T) {
	const refused = `level=info ts=2026-12-02T10:00:00.100Z node=gateway-1 part=forward msg="request ended" request=r1 outcome=not_run status=0 reason="engines full" engines=0 config=3 cause=expected_wait tenant=alpha tenant_waiting=7 waiting=9 expected_wait=1.2s retry_after=1.1s
level=info ts=2026-12-02T10:00:00.100Z node=gateway-1 part=forward msg="request ended" request=r2 outcome=not_run status=0 reason="no engine" engines=0 config=3 cause=no_engine tenant= tenant_waiting=0 waiting=0 expected_wait=0s retry_after=300ms
`
	Convey("The cause names the place in the queue, unless load is not the cause", t, func() {
		folder := t.TempDir()
		So(os.WriteFile(filepath.Join(folder, "gateway"), []byte(refused), 0o600), ShouldBeNil)
		lines, err := ReadFolder(folder)
		So(err, ShouldBeNil)
		trace, err := Find(lines, "r1")
		So(err, ShouldBeNil)
		So(trace.Causes, ShouldResemble, []string{"request r1 ended not_run: engines full (engines asked: 0, configuration 3); " +
			`expected_wait: tenant "alpha" had 7 of 9 waiting requests, a wait of 1.2s was expected`})
		trace, err = Find(lines, "r2")
		So(err, ShouldBeNil)
		So(trace.Causes, ShouldResemble, []string{"request r2 ended not_run: no engine (engines asked: 0, configuration 3)"})
	})
}
