package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// gate is a reader of logs that does not read until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	bytes.Buffer
}

func (g *gate) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Buffer.Write(line)
}

func TestAsyncWriter(t *testing.T) {
	Convey("Lines are written in order", t, func() {
		var out bytes.Buffer
		writer := NewAsyncWriter(&out)
		for i := range 10 {
			fmt.Fprintf(writer, "line %d\n", i)
		}
		writer.Close()
		So(strings.Count(out.String(), "\n"), ShouldEqual, 10)
		So(out.String(), ShouldStartWith, "line 0\nline 1\n")
		So(writer.Dropped(), ShouldEqual, 0)
	})
	Convey("A flood to a reader that does not read blocks nobody, keeps a bounded number of lines, and the drops are told", t, func() {
		const lines = 50000
		out := &gate{open: make(chan struct{})}
		writer := NewAsyncWriter(out)
		for range lines {
			_, err := io.WriteString(writer, "line\n")
			So(err, ShouldBeNil)
		}
		close(out.open)
		writer.Close()
		written := strings.Count(out.String(), "line\n")
		So(written, ShouldBeLessThanOrEqualTo, asyncLines+1)
		So(writer.Dropped(), ShouldEqual, lines-written)
		So(out.String(), ShouldContainSubstring, "lines dropped")
	})
}
