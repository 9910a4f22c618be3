package weightstore_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/lab/weightstore"
)

// read returns the status and body of a GET; status 0 means that the request failed.
func read(url string) (int, []byte) {
	response, err := http.Get(url)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

func TestStore(t *testing.T) {
	Convey("With a store", t, func() {
		config := weightstore.DefaultConfig()
		config.BytesPerSecond = 1 << 20
		config.MaxFileBytes = 256 << 10
		store, err := weightstore.New(config, log.NewNopLogger())
		So(err, ShouldBeNil)
		So(store.Start(), ShouldBeNil)
		Reset(func() { _ = store.Stop(context.Background()) })
		url := store.URL() + weightstore.PathPrefix + "/pool/1"
		put := func(size int) int {
			request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(make([]byte, size)))
			So(err, ShouldBeNil)
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			response.Body.Close()
			return response.StatusCode
		}
		Convey("All readers together stay under the rate and are counted", func() {
			const size, readers = 128 << 10, 3
			So(put(size), ShouldEqual, http.StatusNoContent)
			begun := time.Now()
			var clients sync.WaitGroup
			bodies := make([][]byte, readers)
			for i := range bodies {
				clients.Go(func() { _, bodies[i] = read(url) })
			}
			clients.Wait()
			for _, body := range bodies {
				So(body, ShouldHaveLength, size)
			}
			// One burst of 64 KiB is free.
			atRate := time.Duration(readers*size-64<<10) * time.Second / (1 << 20)
			So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, atRate)
			So(store.Stats().Reads, ShouldEqual, readers)
			So(store.Stats().BytesRead, ShouldEqual, readers*size)
		})
		Convey("An outage refuses and slowness slows, until they end", func() {
			So(put(100<<10), ShouldEqual, http.StatusNoContent)
			store.Inject(weightstore.Faults{Outage: true})
			status, _ := read(url)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			store.Inject(weightstore.Faults{BytesPerSecond: 180 << 10})
			begun := time.Now()
			status, _ = read(url)
			So(status, ShouldEqual, http.StatusOK)
			So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, 180*time.Millisecond)
		})
		Convey("Unknown files and too long ones are refused", func() {
			status, _ := read(url)
			So(status, ShouldEqual, http.StatusNotFound)
			So(put(int(config.MaxFileBytes)+1), ShouldEqual, http.StatusRequestEntityTooLarge)
		})
	})
}
