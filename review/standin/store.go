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

// store stands in for the platform's metadata store, over HTTP on a loopback address.
type store struct {
	*httptest.Server
	client *metastoretest.Client
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

func toWire(object metastore.Object) wireObject {
	var wire wireObject
	wire.Metadata.Name, wire.Metadata.Revision = object.Name, object.Revision
	wire.Metadata.Finalizers, wire.Metadata.Deleting = object.Finalizers, object.Deleting
	wire.Spec, wire.Status = object.Spec, object.Status
	return wire
}

func (w wireObject) object() metastore.Object {
	return metastore.Object{Name: w.Metadata.Name, Revision: w.Metadata.Revision, Finalizers: w.Metadata.Finalizers, Spec: w.Spec, Status: w.Status}
}

func newStore() *store {
	s := &store{client: metastoretest.New().Client()}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /v1/objects/{kind}", s.list)
	routes.HandleFunc("POST /v1/objects/{kind}", s.create)
	routes.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	routes.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	routes.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.replaceStatus)
	routes.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	s.Server = httptest.NewServer(routes)
	return s
}

// put writes an object of the operator or of a server.
func (s *store) put(kind, name string, spec any) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	object := metastore.Object{Name: name, Spec: content}
	if _, err := s.client.Replace(context.Background(), kind, object); err == nil {
		return nil
	}
	_, err = s.client.Create(context.Background(), kind, object)
	return err
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	page, err := s.client.List(r.Context(), r.PathValue("kind"), metastore.ListOptions{After: query.Get("after-rev")})
	if err != nil {
		answerError(w, err)
		return
	}
	objects := make([]wireObject, 0, len(page.Objects))
	for _, found := range page.Objects {
		objects = append(objects, toWire(found))
	}
	answerJSON(w, http.StatusOK, map[string]any{"requests": objects, "has-more": page.More, "timestamp": page.Revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	found, err := s.client.Watch(r.Context(), r.PathValue("kind"), metastore.Revision(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		answerError(w, err)
		return
	}
	events := make([]map[string]any, 0, len(found.Events))
	for _, event := range found.Events {
		events = append(events, map[string]any{"gone": event.Gone, "object": toWire(event.Object)})
	}
	answerJSON(w, http.StatusOK, map[string]any{"events": events, "timestamp": found.Revision})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	found, err := s.client.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	answerObject(w, found, err)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var sent wireObject
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	stored, err := s.client.Create(r.Context(), r.PathValue("kind"), sent.object())
	answerObject(w, stored, err)
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) { write(w, r, s.client.Replace) }

func (s *store) replaceStatus(w http.ResponseWriter, r *http.Request) {
	write(w, r, s.client.ReplaceStatus)
}

// write makes a write on the condition of the revision that the caller names, if it names one.
func write(w http.ResponseWriter, r *http.Request, call func(ctx context.Context, kind string, object metastore.Object) (metastore.Object, error)) {
	var sent wireObject
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sent.Metadata.Name = r.PathValue("name")
	stored, err := call(r.Context(), r.PathValue("kind"), sent.object())
	answerObject(w, stored, err)
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err := s.client.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), metastore.Revision(revision)); err != nil {
		answerError(w, err)
	}
}

func answerObject(w http.ResponseWriter, found metastore.Object, err error) {
	if err != nil {
		answerError(w, err)
		return
	}
	answerJSON(w, http.StatusOK, toWire(found))
}

func answerError(w http.ResponseWriter, err error) {
	var conflict *metastore.ConflictError
	switch {
	case errors.As(err, &conflict):
		answerJSON(w, http.StatusConflict, toWire(conflict.Current))
	case errors.Is(err, metastore.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, metastore.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
