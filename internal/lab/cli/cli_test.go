package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/testkit"
)

const patience = 20 * time.Second

// lab runs a command line to its end.
func lab(arguments ...string) (code int, out, failure string) {
	var output, errors testkit.Buffer
	code = Run(context.Background(), append([]string{programName}, arguments...), commandline.Streams{Out: &output, Err: &errors})
	return code, output.String(), errors.String()
}

func writeFile(folder, name, content string) string {
	file := filepath.Join(folder, name)
	So(os.WriteFile(file, []byte(content), 0o600), ShouldBeNil)
	return file
}

func TestBadInput(t *testing.T) {
	Convey("Bad usage and bad settings are one line and exit code 2", t, func() {
		folder := t.TempDir()
		unknownKey := writeFile(folder, "unknown.yaml", "listen: 127.0.0.1:0\nnothing: 1\n")
		wrongType := writeFile(folder, "type.yaml", "listen: 127.0.0.1:0\nlag: soon\n")
		missing := writeFile(folder, "missing.yaml", "name: e\n")
		for _, c := range []struct {
			arguments string
			want      string
		}{
			{"nothing", `unknown command "nothing"`},
			{"demo --example nowhere", "nowhere"},
			{"demo --samples 0", "--samples"},
			{"demo --samples many", "many"},
			{"demo --log-level loud", "loud"},
			{"demo extra", "extra"},
			{"soak --minutes 0", "--minutes"},
			{"soak --example nowhere", "nowhere"},
			{"up", "--dir"},
			{"up --dir " + folder + " --description " + folder + "/none.yaml", "none.yaml"},
			{"up --dir " + folder + " --description " + missing, "missing.yaml"},
			{"engine", "--config"},
			{"engine --config " + folder + "/none.yaml", "none.yaml"},
			{"engine --config " + missing, "missing.yaml: zone"},
			{"objectapi --config " + unknownKey, "unknown.yaml:2"},
			{"machines --config " + wrongType, "type.yaml:2"},
			{"weightstore --config " + unknownKey, "unknown.yaml:2"},
			{"scorer --config " + unknownKey, "unknown.yaml:2"},
			{"trainer --config " + missing, "missing.yaml"},
			{"load --config " + missing, "missing.yaml"},
		} {
			code, out, failure := lab(strings.Fields(c.arguments)...)
			So(code, ShouldEqual, commandline.ExitUsage)
			So(out, ShouldBeEmpty)
			So(failure, ShouldContainSubstring, c.want)
			So(strings.Count(failure, "\n"), ShouldEqual, 1)
		}
	})
	Convey("Without a command the help is shown", t, func() {
		code, out, _ := lab()
		So(code, ShouldEqual, commandline.ExitOK)
		So(out, ShouldContainSubstring, "demo")
	})
}

func TestUp(t *testing.T) {
	Convey("Each printed command names a file that is there, in the order of starting", t, func() {
		folder := filepath.Join(t.TempDir(), "lab")
		code, out, failure := lab("up", "--example", "cairnpath", "--dir", folder)
		So(failure, ShouldBeEmpty)
		So(code, ShouldEqual, commandline.ExitOK)
		lines := strings.Split(strings.TrimSpace(out), "\n")
		So(lines[0], ShouldStartWith, "go build")
		So(lines[1], ShouldContainSubstring, "covelink-lab objectapi")
		node := strings.Index(out, "covelinkd run")
		export := strings.Index(out, "export COVELINK_SERVER=http://127.0.0.1:")
		So(export, ShouldBeGreaterThan, node)
		So(out, ShouldContainSubstring, "export COVELINK_TOKEN=demo-operator-token\n")
		files := regexp.MustCompile(`(?:--config|-f) (\S+)`).FindAllStringSubmatch(out, -1)
		So(len(files), ShouldEqual, len(lines)-4)
		for _, file := range files {
			_, err := os.Stat(file[1])
			So(err, ShouldBeNil)
		}
		So(out, ShouldContainSubstring, "bin/covelinkd run --config "+filepath.Join(folder, "node-glasgow-hall-1.yaml")+" &")
		So(lines[len(lines)-1], ShouldStartWith, "bin/covelink-lab load")
	})
}

func TestStandInProcesses(t *testing.T) {
	Convey("Each stand-in serves until it is told to stop", t, func() {
		folder := t.TempDir()
		for command, content := range map[string]string{
			"engine":      "name: e\nzone: z\npool: p\n",
			"objectapi":   "listen: 127.0.0.1:0\n",
			"weightstore": "bytesPerSecond: 1000000\n",
			"machines":    "listen: 127.0.0.1:0\nlag: 10ms\n",
			"scorer":      "delay: 1ms\n",
		} {
			file := writeFile(folder, command+".yaml", content)
			var output, failure testkit.Buffer
			ctx, cancel := context.WithCancel(context.Background())
			code := make(chan int, 1)
			go func() {
				code <- Run(ctx, []string{programName, command, "--config", file}, commandline.Streams{Out: &output, Err: &failure})
			}()
			url := waitURL(&failure)
			response, err := http.Get(url)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
			cancel()
			So(<-code, ShouldEqual, commandline.ExitOK)
			So(failure.String(), ShouldContainSubstring, "msg=stopped")
			_, err = http.Get(url)
			So(err, ShouldNotBeNil)
		}
	})
}

// waitURL waits until a process has said where it serves.
func waitURL(output *testkit.Buffer) string {
	pattern := regexp.MustCompile(`msg=serving .*url=(\S+)`)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if found := pattern.FindStringSubmatch(output.String()); found != nil {
			return found[1]
		}
	}
	So(output.String(), ShouldContainSubstring, "msg=serving")
	return ""
}

func TestLoadProcess(t *testing.T) {
	Convey("A load prints what it measured", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"error":{"message":"full","outcome":"not_run"}}`)
		}))
		defer server.Close()
		file := writeFile(t.TempDir(), "load.yaml", "urls: ["+server.URL+"]\ntoken: t\npool: p\nrequests: 5\nrequestsPerSecond: 1000\n")
		code, out, failure := lab("load", "--config", file)
		So(failure, ShouldBeEmpty)
		So(code, ShouldEqual, commandline.ExitOK)
		So(out, ShouldContainSubstring, "5 sent, 0 completed, 5 not run, 0 unknown")
	})
}

func TestTrainerProcess(t *testing.T) {
	Convey("A trainer that is told to stop ends without a failure", t, func() {
		server := httptest.NewServer(http.NotFoundHandler())
		defer server.Close()
		file := writeFile(t.TempDir(), "trainer.yaml", "name: t\nurls: ["+server.URL+"]\ntoken: t\nweightStore: "+server.URL+"\n")
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		var output, failure testkit.Buffer
		code := Run(ctx, []string{programName, "trainer", "--config", file}, commandline.Streams{Out: &output, Err: &failure})
		So(code, ShouldEqual, commandline.ExitOK)
		So(output.String(), ShouldContainSubstring, "0 in 0 batches")
	})
}
