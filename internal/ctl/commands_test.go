package ctl_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/ctl"
)

func TestCommands(t *testing.T) {
	Convey("Given stored resources", t, func() {
		f := newFixture(t)
		defer f.server.Close()
		So(f.run("apply", "-f", f.write("all.yaml", base())).code, ShouldEqual, commandline.ExitOK)
		f.backend.SetConditions(v1.KindPool, "p",
			v1.Condition{Type: v1.ConditionAccepted, Status: v1.ConditionTrue},
			v1.Condition{Type: v1.ConditionInForce, Status: v1.ConditionFalse, Reason: "Applying", Message: "1 of 2 nodes"})

		Convey("get prints tables", func() {
			So(f.run("get", "pools").out, ShouldEqual, strings.Join([]string{
				"NAME   ACCEPTED   INFORCE   DEGRADED   MODEL   ZONES   ENGINES   VERSIONS",
				"p      True       False     -          m       a       0         -", ""}, "\n"))
			So(f.run("get", "Zone", "b").out, ShouldEqual, strings.Join([]string{
				"NAME   ACCEPTED   INFORCE   DEGRADED   REGION   CORDONED   NODES   ENGINES",
				"b      -          -         -          bne      false      0       0", ""}, "\n"))
			So(f.run("get", "pool", "q"), ShouldResemble, result{code: commandline.ExitFailed, err: "covelinkctl: pool/q not found\n"})
		})

		Convey("what get prints as YAML or JSON can be applied again", func() {
			for _, format := range []string{"yaml", "json"} {
				shown := f.run("get", "pool", "p", "-o", format)
				So(shown.code, ShouldEqual, commandline.ExitOK)
				So(f.runWith(t.Context(), shown.out, "apply", "-f", "-"), ShouldResemble, result{out: "pool/p unchanged\n"})
			}
			zones := f.run("get", "zones", "-o", "yaml")
			So(f.runWith(t.Context(), zones.out, "apply", "-f", "-").out, ShouldEqual, "zone/a unchanged\nzone/b unchanged\n")
		})

		Convey("delete asks for confirmation where it does harm", func() {
			done := f.run("delete", "zone", "a")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldStartWith, `covelinkctl: zone/a: pool "p" permits zone "a"; `)
			So(f.run("delete", "zone", "b", "--dry-run").out, ShouldEqual, "zone/b deleted (dry run)\n")
			So(f.run("delete", "zone", "b").out, ShouldEqual, "zone/b deleted\n")
			So(f.run("delete", "zone", "b").code, ShouldEqual, commandline.ExitFailed)
			So(f.run("delete", "zone", "a", "--confirm").out, ShouldEqual, "zone/a deleted\n")
		})

		Convey("status shows servers, zones, pools and what is not as it should be", func() {
			done := f.run("status")
			So(done.code, ShouldEqual, commandline.ExitOK)
			words := strings.Join(strings.Fields(done.out), " ")
			So(words, ShouldContainSubstring, "SERVER READY "+f.server.URL+" True ZONES")
			So(words, ShouldContainSubstring, "pool/p InForce False Applying 1 of 2 nodes")
			So(words, ShouldContainSubstring, "zone/a Accepted - - not yet reported")
			So(words, ShouldNotContainSubstring, "pool/p Accepted")
		})

		Convey("explain prints the node's answer as lines", func() {
			want := "id: r/1\nsteps[0].zone: bne-stl\nsteps[0].score: 1.50\nsteps[1].refused: true\nsteps[1].by: -\n"
			So(f.run("explain", "r1").out, ShouldEqual, strings.Replace(want, "r/1", "r1", 1))
		})

		Convey("completion prints a script", func() {
			So(f.run("completion", "bash").out, ShouldContainSubstring, "covelinkctl")
		})

		Convey("bad usage gives one line and exit 2", func() {
			for _, args := range [][]string{
				{"aply"}, {"get"}, {"get", "pods"}, {"get", "zones", "-o", "xml"}, {"get", "zones", "--nope"}, {"apply"},
				{"apply", "-f", "x", "y"}, {"apply", "-f", "x", "--timeout", "soon"}, {"delete", "zone"}, {"explain"},
				{"watch"}, {"watch", "zones", "-o", "yaml"}, {"status", "x"}, {"--server", "node:80", "status"},
				{"--token-file", "/nonexistent", "status"}, {"--ca-file", "/dev/null", "status"},
			} {
				done := f.run(args...)
				So(done.code, ShouldEqual, commandline.ExitUsage)
				So(strings.Count(done.err, "\n"), ShouldEqual, 1)
				So(done.out, ShouldEqual, "")
			}
		})

		Convey("a wrong token is refused with exit 1", func() {
			done := f.run("--token", "wrong", "get", "zones")
			So(done, ShouldResemble, result{code: commandline.ExitFailed, err: "covelinkctl: a valid operator token is required\n"})
			file := f.write("token", token+"\n")
			So(f.run("--token-file", file, "get", "zones").code, ShouldEqual, commandline.ExitOK)
		})
	})
}

// syncBuffer is a buffer that a test reads while a command writes.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// waitFor waits until the buffer holds the text.
func (b *syncBuffer) waitFor(text string) bool {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if strings.Contains(b.String(), text) {
			return true
		}
	}
	return false
}

func TestWatchCommand(t *testing.T) {
	Convey("watch shows changes, goes on after a lost connection and a forgotten revision, and ends when interrupted", t, func() {
		f := newFixture(t)
		defer f.server.Close()
		apply := func(text string) {
			So(f.runWith(t.Context(), text, "apply", "-f", "-").code, ShouldEqual, commandline.ExitOK)
		}
		apply(zone("a"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		out := &syncBuffer{}
		ended := make(chan int, 1)
		go func() {
			args := []string{"covelinkctl", "--server", f.server.URL, "--token", token, "watch", "zones"}
			ended <- ctl.Run(ctx, args, commandline.Streams{Out: out, Err: out})
		}()
		So(out.waitFor("ADDED    zone/a resourceVersion=1 Accepted=- InForce=- Degraded=-\n"), ShouldBeTrue)
		apply(zone("b"))
		So(out.waitFor("ADDED    zone/b resourceVersion=2 "), ShouldBeTrue)
		f.server.CloseClientConnections()
		apply(zone("c"))
		So(out.waitFor("ADDED    zone/c resourceVersion=3 "), ShouldBeTrue)
		So(strings.Count(out.String(), "zone/a"), ShouldEqual, 1)
		cancel()
		So(<-ended, ShouldEqual, commandline.ExitOK)
	})
}
