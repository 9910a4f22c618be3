package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// recorder is a connection that keeps what is written; of net.Conn it has only what a frameWriter uses.
type recorder struct {
	net.Conn
	kept bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) { return r.kept.Write(p) }

func (r *recorder) SetWriteDeadline(time.Time) error { return nil }

// framed returns the payload with its length, or with a false one.
func framed(length uint32, payload ...byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), payload...)
}

// readAll reads frames until an error.
func readAll(data []byte) error {
	reader := newFrameReader(bytes.NewReader(data), testLimit)
	for {
		head, _, err := reader.next()
		if err != nil {
			return err
		}
		var target any = new(echoRequest)
		if head.Cancel {
			target = nil
		}
		if err := reader.body(target); err != nil {
			return err
		}
	}
}

// allocated returns the bytes that the function allocates, as measured.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestFrames(t *testing.T) {
	Convey("Frames survive a value that could not be sent", t, func() {
		out := &recorder{}
		writer := newFrameWriter(out, testLimit)
		ctx := context.Background()
		for range 2 {
			_, _, err := writer.write(ctx, header{ID: 1, Method: "m"}, echoRequest{Text: "ok"})
			So(err, ShouldBeNil)
			_, sent, err := writer.write(ctx, header{ID: 2}, echoRequest{Text: string(make([]byte, testLimit))})
			So(errors.Is(err, ErrFrameTooLarge), ShouldBeTrue)
			So(sent, ShouldBeFalse)
			_, _, err = writer.write(ctx, header{ID: 3}, func() {})
			So(errors.Is(err, errEncode), ShouldBeTrue)
		}
		reader := newFrameReader(&out.kept, testLimit)
		for range 2 {
			head, _, err := reader.next()
			So(err, ShouldBeNil)
			So(head.Method, ShouldEqual, "m")
			var got echoRequest
			So(reader.body(&got), ShouldBeNil)
			So(got.Text, ShouldEqual, "ok")
		}
	})
	Convey("Bad frames are refused and cost little memory", t, func() {
		const claim = 9 << 20 // a gob message of nine megabytes, which the frame does not hold
		const allowance = 512 << 10
		cases := map[string]struct {
			data []byte
			want error
		}{
			"above the limit":            {framed(testLimit + 1), ErrFrameTooLarge},
			"length of all ones":         {framed(0xffffffff), ErrFrameTooLarge},
			"cut short":                  {framed(100, 1, 2), io.ErrUnexpectedEOF},
			"message leaves the frame":   {framed(5, 0xfc, 0x00, claim>>16, 0, 0), ErrBadFrame},
			"count of nine bytes":        {framed(2, 0xf7, 1), ErrBadFrame},
			"length prefix of a message": {framed(1, 0xfc), ErrBadFrame},
		}
		for name, test := range cases {
			Convey(name, func() {
				var err error
				used := allocated(func() { err = readAll(test.data) })
				So(errors.Is(err, test.want), ShouldBeTrue)
				So(used, ShouldBeLessThan, allowance)
			})
		}
		Convey("bytes after the body", func() {
			out := &recorder{}
			_, _, err := newFrameWriter(out, testLimit).write(context.Background(), header{}, echoRequest{Text: "x"})
			So(err, ShouldBeNil)
			data := append(out.kept.Bytes(), 1, 0)
			binary.BigEndian.PutUint32(data, binary.BigEndian.Uint32(data)+2)
			So(errors.Is(readAll(data), ErrBadFrame), ShouldBeTrue)
		})
	})
}

func TestMethodNumbers(t *testing.T) {
	ctx := context.Background()
	body := echoRequest{Text: "x"}
	Convey("A method's name crosses once a stream; every header is read with it", t, func() {
		out := &recorder{}
		writer := newFrameWriter(out, testLimit)
		name := string(bytes.Repeat([]byte("m"), 100))
		first, _, err := writer.write(ctx, header{ID: 1, Method: name}, body)
		So(err, ShouldBeNil)
		again, _, err := writer.write(ctx, header{ID: 2, Method: name}, body)
		So(err, ShouldBeNil)
		So(again, ShouldBeLessThan, len(name))
		So(first, ShouldBeGreaterThan, len(name))
		_, _, err = writer.write(ctx, header{ID: 3, Method: "other"}, func() {}) // begins a new stream
		So(errors.Is(err, errEncode), ShouldBeTrue)
		for _, method := range []string{"other", name, "other", "", name} {
			_, _, err = writer.write(ctx, header{ID: 4, Method: method}, body)
			So(err, ShouldBeNil)
		}
		reader := newFrameReader(&out.kept, testLimit)
		for _, method := range []string{name, name, "other", name, "other", "", name} {
			head, _, err := reader.next()
			So(err, ShouldBeNil)
			So(head.Method, ShouldEqual, method)
			So(reader.body(&echoRequest{}), ShouldBeNil)
		}
	})
	Convey("Long names get no number, and are refused with one", t, func() {
		out := &recorder{}
		writer := newFrameWriter(out, testLimit)
		reader := newFrameReader(&out.kept, testLimit)
		long := string(bytes.Repeat([]byte("m"), maxNumberedMethodBytes+1))
		for range 2 {
			_, _, err := writer.write(ctx, header{Method: long}, body)
			So(err, ShouldBeNil)
			head, _, err := reader.next()
			So(err, ShouldBeNil)
			So(head.Method, ShouldEqual, long)
			So(reader.body(&echoRequest{}), ShouldBeNil)
		}
		So(errors.Is(reader.name(&header{Number: 1, Method: long}), ErrBadFrame), ShouldBeTrue)
	})
	Convey("Methods beyond the numbers keep their names", t, func() {
		out := &recorder{}
		writer := newFrameWriter(out, testLimit)
		reader := newFrameReader(&out.kept, testLimit)
		for index := range 2 * (maxMethodNumbers + 2) {
			method := fmt.Sprintf("m%d", index%(maxMethodNumbers+2))
			_, _, err := writer.write(ctx, header{Method: method}, body)
			So(err, ShouldBeNil)
			head, _, err := reader.next()
			So(err, ShouldBeNil)
			So(head.Method, ShouldEqual, method)
			So(reader.body(&echoRequest{}), ShouldBeNil)
		}
	})
	Convey("Numbers that were never given are refused", t, func() {
		for _, head := range []header{{Number: 1}, {Number: -1}, {Number: 2, Method: "m"}, {Number: -1, Method: "m"}} {
			reader := newFrameReader(&bytes.Buffer{}, testLimit)
			So(errors.Is(reader.name(&head), ErrBadFrame), ShouldBeTrue)
		}
	})
}

func FuzzFrameReader(f *testing.F) {
	out := &recorder{}
	writer := newFrameWriter(out, testLimit)
	for _, head := range []header{{ID: 1, Method: "m"}, {ID: 2}} {
		if _, _, err := writer.write(context.Background(), head, echoRequest{Text: "seed"}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(out.kept.Bytes())
	f.Add(framed(3, 1, 2, 3))
	f.Add(framed(resetFlag|2, 1, 0))
	numbered := &recorder{}
	writer = newFrameWriter(numbered, testLimit)
	for range 3 {
		if _, _, err := writer.write(context.Background(), header{ID: 1, Method: "m"}, echoRequest{}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(numbered.kept.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		// Whatever the bytes are, the reader ends with an error and reads no frame above the limit.
		reader := newFrameReader(bytes.NewReader(data), testLimit)
		for {
			_, size, err := reader.next()
			if err != nil {
				return
			}
			if size > testLimit+frameLengthBytes || size > len(data) {
				t.Fatalf("a frame of %d bytes out of %d", size, len(data))
			}
			if reader.body(nil) != nil {
				return
			}
		}
	})
}

// discarder is a connection that drops what is written.
type discarder struct{ net.Conn }

func (discarder) Write(p []byte) (int, error) { return len(p), nil }

func (discarder) SetWriteDeadline(time.Time) error { return nil }

// live returns the bytes of the heap that are in use.
func live() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A coordinator that had answered 67 gateways with 600 KB each kept 67 MB in gob's buffers, and was killed for its memory
// (scale-1 of Cairnpath, grown).
func TestMemoryBetweenFrames(t *testing.T) {
	Convey("Connections keep little memory after large frames, in both directions", t, func() {
		const connections = 40
		const size = 600 << 10
		large := echoRequest{Text: string(make([]byte, size))}
		before := live()
		writers := make([]*frameWriter, connections)
		readers := make([]*frameReader, connections)
		for i := range connections {
			writers[i] = newFrameWriter(discarder{}, DefaultMaxFrameBytes)
			_, _, err := writers[i].write(t.Context(), header{ID: 1, Method: "m"}, large)
			So(err, ShouldBeNil)
			wire := &recorder{}
			_, _, err = newFrameWriter(wire, DefaultMaxFrameBytes).write(t.Context(), header{ID: 1, Method: "m"}, large)
			So(err, ShouldBeNil)
			_, _, err = newFrameWriter(wire, DefaultMaxFrameBytes).write(t.Context(), header{ID: 2, Method: "m"}, echoRequest{Text: "small"})
			So(err, ShouldBeNil)
			readers[i] = newFrameReader(bytes.NewReader(bytes.Clone(wire.kept.Bytes())), DefaultMaxFrameBytes)
			for range 2 {
				_, _, err = readers[i].next()
				So(err, ShouldBeNil)
				So(readers[i].body(new(echoRequest)), ShouldBeNil)
			}
			readers[i].in = nil
		}
		kept := int64(live()) - int64(before)
		const most = 256 << 10
		So(kept, ShouldBeLessThan, connections*most)
		runtime.KeepAlive(writers)
		runtime.KeepAlive(readers)
	})
}
