package ctl_test

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
)

func TestApply(t *testing.T) {
	Convey("Given a server", t, func() {
		f := newFixture(t)
		defer f.server.Close()

		Convey("resources are written after those they refer to, and only when they differ", func() {
			file := f.write("all.yaml", base())
			So(f.run("apply", "-f", file), ShouldResemble, result{out: "zone/a created\nzone/b created\npool/p created\n"})
			So(f.run("apply", "-f", file).out, ShouldEqual, "zone/a unchanged\nzone/b unchanged\npool/p unchanged\n")
			So(f.revision(), ShouldEqual, 3)
			So(f.runWith(t.Context(), pool("p", "a, b"), "apply", "-f", "-").out, ShouldEqual, "pool/p configured\n")
			So(f.revision(), ShouldEqual, 4)
		})

		Convey("a folder and several files are one set", func() {
			f.write("1.yaml", pool("p", "a"))
			f.write("2.json", `{"apiVersion":"covelink.io/v1","kind":"Zone","metadata":{"name":"a"},"spec":{"region":"bne"}}`)
			f.write("notes.txt", "not a resource")
			So(f.run("apply", "-f", f.folder).out, ShouldEqual, "zone/a created\npool/p created\n")
		})

		Convey("a dry run writes nothing", func() {
			done := f.run("apply", "--dry-run", "-f", f.write("all.yaml", base()))
			So(done, ShouldResemble, result{out: "zone/a created (dry run)\nzone/b created (dry run)\npool/p created (dry run)\n"})
			So(f.revision(), ShouldEqual, 0)
		})

		Convey("a bad file gives one line and exit 2, and nothing of the set is written", func() {
			good := f.write("good.yaml", zone("a"))
			for content, want := range map[string]string{
				zone("b") + "  regoin: x\n":             "line 7: spec.regoin: unknown field",
				pool("p", "a") + "  maxTokens: -1\n":    "line 8: pool/p: spec.maxTokens: must be between 1 and 1048576, is -1",
				pool("p", "a, c"):                       `line 7: pool/p: spec.permittedZones[1]: zone "c" does not exist`,
				pool("p", ""):                           "line 7: pool/p: spec.permittedZones: must name at least one",
				pool("p", "a, a") + "  maxTokens: -1\n": "line 7: pool/p: spec.permittedZones[1]: repeats entry 0 (and 1 more)",
				"kind: [\n":                             "line 1: not valid YAML: sequence end token ']' not found",
				"# nothing\n":                           "no resources",
			} {
				bad := f.write("bad.yaml", content)
				files := []string{"apply", "-f", good, "-f", bad}
				if want == "no resources" {
					files = []string{"apply", "-f", bad}
				}
				So(f.run(files...), ShouldResemble, result{code: commandline.ExitUsage, err: "covelinkctl: " + bad + ": " + want + "\n"})
			}
			missing := filepath.Join(f.folder, "missing.yaml")
			So(f.run("apply", "-f", missing).code, ShouldEqual, commandline.ExitUsage)
			So(f.revision(), ShouldEqual, 0)
		})

		Convey("two files that state the same resource are refused with both places", func() {
			first := f.write("1.yaml", base())
			second := f.write("2.yaml", zone("c")+"---\n"+pool("p", "b"))
			want := "covelinkctl: " + second + ": line 8: pool/p is already stated in " + first + ", line 1\n"
			So(f.run("apply", "-f", f.folder), ShouldResemble, result{code: commandline.ExitUsage, err: want})
			So(f.revision(), ShouldEqual, 0)
		})

		Convey("taking a pool's last zone away is refused with exit 1 unless confirmed, and nothing of the set is written", func() {
			So(f.run("apply", "-f", f.write("all.yaml", base())).code, ShouldEqual, commandline.ExitOK)
			file := f.write("cordon.yaml", zone("c")+"---\n"+zone("a")+"  cordoned: true\n")
			want := "covelinkctl: " + file + `: line 8: zone/a: pool "p" would be left without a zone that takes work; repeat with confirm=true to change it all the same` + "\n"
			So(f.run("apply", "-f", file), ShouldResemble, result{code: commandline.ExitFailed, err: want})
			So(f.revision(), ShouldEqual, 3)
			So(f.run("apply", "-f", file, "--confirm").out, ShouldEqual, "zone/c created\nzone/a configured\n")
		})
	})
}

func TestApplyRaces(t *testing.T) {
	Convey("Given stored resources", t, func() {
		f := newFixture(t)
		defer f.server.Close()
		So(f.run("apply", "-f", f.write("all.yaml", base())).code, ShouldEqual, commandline.ExitOK)
		changed := pool("p", "a, b")
		var updates atomic.Int32
		conflictTwice := func(call string) error {
			if call == "update" && updates.Add(1) <= 2 {
				return v1.Errorf(v1.CodeConflict, "pool has changed")
			}
			return nil
		}

		Convey("a conflict is tried again from what is stored now", func() {
			f.backend.FailWith(conflictTwice)
			So(f.runWith(t.Context(), changed, "apply", "-f", "-"), ShouldResemble, result{out: "pool/p configured\n"})
			So(updates.Load(), ShouldEqual, 3)
		})

		Convey("a conflict with a resourceVersion that the file states is final", func() {
			stated := strings.Replace(changed, "name: p\n", "name: p\n  resourceVersion: \"3\"\n", 1)
			f.backend.FailWith(conflictTwice)
			done := f.runWith(t.Context(), stated, "apply", "-f", "-")
			So(done, ShouldResemble, result{code: commandline.ExitFailed, err: "covelinkctl: -: line 1: pool/p: pool has changed (0 of 1 resources are applied)\n"})
			So(updates.Load(), ShouldEqual, 1)
			stale := strings.Replace(stated, `"3"`, `"2"`, 1)
			So(f.runWith(t.Context(), stale, "apply", "-f", "-").err, ShouldContainSubstring, "is at resourceVersion 3, not 2")
			gone := strings.Replace(stated, "name: p\n", "name: q\n", 1)
			So(f.runWith(t.Context(), gone, "apply", "-f", "-").code, ShouldEqual, commandline.ExitFailed)
			So(f.revision(), ShouldEqual, 3)
		})

		Convey("a write whose answer is lost is read back, not repeated", func() {
			f.intercept = func(_ http.ResponseWriter, r *http.Request, api http.Handler) bool {
				if r.Method != http.MethodPut || r.URL.RawQuery != "" {
					return false
				}
				updates.Add(1)
				api.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			So(f.runWith(t.Context(), changed, "apply", "-f", "-"), ShouldResemble, result{out: "pool/p configured\n"})
			So(updates.Load(), ShouldEqual, 1)
			So(f.revision(), ShouldEqual, 4)
		})

		Convey("a server that cannot be reached is passed over", func() {
			closed := httptest.NewServer(nil)
			closed.Close()
			done := runPlain(t.Context(), "", "--server", closed.URL+","+f.server.URL, "--token", token, "get", "zones")
			So(done.code, ShouldEqual, commandline.ExitOK)
			done = runPlain(t.Context(), changed, "--server", closed.URL, "--server", f.server.URL, "--token", token, "apply", "-f", "-")
			So(done, ShouldResemble, result{out: "pool/p configured\n"})
			done = runPlain(t.Context(), "", "--server", closed.URL, "--token", token, "get", "zones")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldStartWith, "covelinkctl: "+closed.URL+": ")
		})
	})
}

func TestApplyWait(t *testing.T) {
	Convey("Given a stored zone", t, func() {
		f := newFixture(t)
		defer f.server.Close()
		apply := func(args ...string) result {
			return f.runWith(t.Context(), zone("a"), append([]string{"apply", "-f", "-"}, args...)...)
		}
		So(apply().code, ShouldEqual, commandline.ExitOK)
		accepted := v1.Condition{Type: v1.ConditionAccepted, Status: v1.ConditionTrue}
		inForce := v1.Condition{Type: v1.ConditionInForce, Status: v1.ConditionTrue}

		Convey("waiting ends when it is accepted and in force", func() {
			f.backend.SetConditions(v1.KindZone, "a", accepted, inForce)
			So(apply("--wait"), ShouldResemble, result{out: "zone/a unchanged\n"})
		})

		Convey("waiting ends when the status comes later", func() {
			var reads atomic.Int32
			f.intercept = func(_ http.ResponseWriter, r *http.Request, _ http.Handler) bool {
				if r.Method == http.MethodGet && reads.Add(1) == 10 {
					f.backend.SetConditions(v1.KindZone, "a", accepted, inForce)
				}
				return false
			}
			So(apply("--wait"), ShouldResemble, result{out: "zone/a unchanged\n"})
			So(reads.Load(), ShouldBeGreaterThanOrEqualTo, 10)
		})

		Convey("a timeout names what is missing", func() {
			So(apply("--wait", "--timeout", "50ms").err, ShouldEqual, "covelinkctl: zone/a: not in force after 50ms: Accepted is not yet reported\n")
			cutOff := v1.Condition{Type: v1.ConditionAccepted, Status: v1.ConditionFalse, Reason: "Pending", Message: "waiting for zone bne-kgr"}
			f.backend.SetConditions(v1.KindZone, "a", cutOff)
			done := apply("--wait", "--timeout", "50ms")
			So(done.code, ShouldEqual, commandline.ExitFailed)
			So(done.err, ShouldEqual, "covelinkctl: zone/a: not in force after 50ms: Accepted is False: Pending waiting for zone bne-kgr\n")
		})
	})
}

func TestExamples(t *testing.T) {
	Convey("The examples can be applied as they are", t, func() {
		for name, resources := range map[string]int{"moreton": 7, "cairnpath": 8} {
			f := newFixture(t)
			done := f.run("apply", "-f", filepath.Join("..", "..", "examples", name, "resources.yaml"))
			So(done.err, ShouldEqual, "")
			So(done.code, ShouldEqual, commandline.ExitOK)
			So(strings.Count(done.out, " created\n"), ShouldEqual, resources)
			f.server.Close()
		}
	})
}
