package resourceapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// watchWriteTimeout bounds one write to a watcher; a watcher that does not read is dropped and lists again.
const watchWriteTimeout = 30 * time.Second

// watchLine is one line of a watch.
type watchLine struct {
	Type   WatchEventType `json:"type"`
	Object v1.Object      `json:"object"`
}

// watch sends every change after the stated revision, one JSON object a line. Without a revision it first sends
// every resource as added. The body ends when the client leaves, the timeout passes, Stop is called or the
// backend drops the watch; the client then watches again from the last resourceVersion it saw.
func (a *API) watch(r *request) error {
	ctx, cancel := watchContext(r)
	defer cancel()
	defer context.AfterFunc(a.stopping, cancel)()
	var existing []v1.Object
	after := r.options.revision
	if r.options.resourceVersion == "" {
		var err error
		if existing, after, err = a.backend.List(ctx, r.kind); err != nil {
			return err
		}
	}
	events, err := a.backend.Watch(ctx, r.kind, after)
	if err != nil {
		return err
	}
	writer := newLineWriter(r)
	for _, object := range existing {
		if !writer.send(WatchAdded, object) {
			return nil
		}
	}
	for event := range events {
		if !writer.send(event.Type, event.Object) {
			return nil
		}
	}
	return nil
}

func watchContext(r *request) (context.Context, context.CancelFunc) {
	if r.options.timeout > 0 {
		return context.WithTimeout(r.Request.Context(), r.options.timeout)
	}
	return context.WithCancel(r.Request.Context())
}

// lineWriter writes watch lines and flushes each.
type lineWriter struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newLineWriter(r *request) *lineWriter {
	r.Header("Content-Type", "application/json")
	r.Status(http.StatusOK)
	writer := &lineWriter{encoder: json.NewEncoder(r.Writer), controller: http.NewResponseController(r.Writer)}
	// The headers go out at once: the client then knows that the watch has begun.
	r.Writer.WriteHeaderNow()
	r.Writer.Flush()
	return writer
}

// send reports whether the line was written.
func (w *lineWriter) send(eventType WatchEventType, object v1.Object) bool {
	v1.SetTypeMeta(object)
	// Not every writer has deadlines; the server's own then hold.
	_ = w.controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if err := w.encoder.Encode(watchLine{Type: eventType, Object: object}); err != nil {
		return false
	}
	return w.controller.Flush() == nil
}
