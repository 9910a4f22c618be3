package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"github.com/covelink/covelink/internal/metastore"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

// storeServer is the platform's store on a loopback address, as the pages describe it, over the project's store in memory.
type storeServer struct {
	*httptest.Server
	// direct is access without the wire, for what the operator and the samplers write, and wire that of those who call over HTTP.
	direct, wire *metastoretest.Client
}

// wireObject is an object on the wire.
type wireObject struct {
	Metadata struct {
		Name       string             `json:"name"`
		Revision   metastore.Revision `json:"revision"`
		Finalizers []string           `json:"finalizers"`
		Deleting   bool               `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

func toWire(o metastore.Object) wireObject {
	var w wireObject
	w.Metadata.Name, w.Metadata.Revision, w.Metadata.Finalizers, w.Metadata.Deleting = o.Name, o.Revision, o.Finalizers, o.Deleting
	w.Spec, w.Status = o.Spec, o.Status
	return w
}

func (w wireObject) object() metastore.Object {
	return metastore.Object{Name: w.Metadata.Name, Revision: w.Metadata.Revision, Finalizers: w.Metadata.Finalizers, Spec: w.Spec, Status: w.Status}
}

func newStoreServer() *storeServer {
	memory := metastoretest.New()
	s := &storeServer{direct: memory.Client(), wire: memory.Client()}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/objects/{kind}", s.list)
	routes.HandleFunc("POST /v1/objects/{kind}", s.create)
	routes.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	routes.HandleFunc("PUT /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) { s.put(w, r, s.wire.Replace) })
	routes.HandleFunc("PUT /v1/objects/{kind}/{name}/status", func(w http.ResponseWriter, r *http.Request) { s.put(w, r, s.wire.ReplaceStatus) })
	routes.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	s.Server = httptest.NewServer(routes)
	return s
}

func (s *storeServer) address() string { return s.Listener.Addr().String() }

// write writes an object's spec, without the wire.
func (s *storeServer) write(ctx context.Context, kind, name string, spec any) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	object := metastore.Object{Name: name, Spec: content}
	if _, err := s.direct.Replace(ctx, kind, object); err == nil {
		return nil
	}
	_, err = s.direct.Create(ctx, kind, object)
	return err
}

func (s *storeServer) list(w http.ResponseWriter, r *http.Request) {
	query, kind := r.URL.Query(), r.PathValue("kind")
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	page, err := s.wire.List(r.Context(), kind, metastore.ListOptions{After: query.Get("after-rev")})
	if err != nil {
		answerError(w, err)
		return
	}
	objects := make([]wireObject, 0, len(page.Objects))
	for _, found := range page.Objects {
		objects = append(objects, toWire(found))
	}
	answer(w, map[string]any{"requests": objects, "has-more": page.More, "timestamp": page.Revision})
}

func (s *storeServer) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	found, err := s.wire.Watch(r.Context(), kind, metastore.Revision(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		answerError(w, err)
		return
	}
	events := make([]map[string]any, 0, len(found.Events))
	for _, event := range found.Events {
		events = append(events, map[string]any{"gone": event.Gone, "object": toWire(event.Object)})
	}
	answer(w, map[string]any{"events": events, "timestamp": found.Revision})
}

func (s *storeServer) get(w http.ResponseWriter, r *http.Request) {
	found, err := s.wire.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	answerObject(w, found, err)
}

func (s *storeServer) create(w http.ResponseWriter, r *http.Request) {
	var sent wireObject
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, err := s.wire.Create(r.Context(), r.PathValue("kind"), sent.object())
	answerObject(w, stored, err)
}

// putFunc is a conditional write.
type putFunc func(ctx context.Context, kind string, object metastore.Object) (metastore.Object, error)

func (s *storeServer) put(w http.ResponseWriter, r *http.Request, write putFunc) {
	var sent wireObject
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sent.Metadata.Name = r.PathValue("name")
	stored, err := write(r.Context(), r.PathValue("kind"), sent.object())
	answerObject(w, stored, err)
}

func (s *storeServer) remove(w http.ResponseWriter, r *http.Request) {
	var revision int64
	if given := r.URL.Query().Get("revision"); given != "" {
		var err error
		if revision, err = strconv.ParseInt(given, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if err := s.wire.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), metastore.Revision(revision)); err != nil {
		answerError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func answerObject(w http.ResponseWriter, found metastore.Object, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, toWire(found))
}

func answerError(w http.ResponseWriter, err error) {
	var conflict *metastore.ConflictError
	switch {
	case errors.As(err, &conflict):
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		// A caller that has left needs no answer.
		_ = json.NewEncoder(w).Encode(toWire(conflict.Current))
	case errors.Is(err, metastore.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, metastore.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
