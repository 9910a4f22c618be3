package quarantine

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// ListPath lists the recorded requests (GET).
	ListPath = "/debug/quarantine"
	// ReleasePath releases a request (POST); the fingerprint in hex follows.
	ReleasePath = "/debug/quarantine/release/"
	// fingerprintField is the path parameter.
	fingerprintField = "fingerprint"
)

// List is the response of ListPath.
type List struct {
	Requests []Listing `json:"requests"`
}

// Listing describes one request.
type Listing struct {
	Fingerprint string `json:"fingerprint"`
	State       string `json:"standing"`
	// Engines are the engine starts that exited while running the request.
	Engines []string `json:"engines"`
	// Exits is the number of engines that exited at about the same times, these included.
	Exits int `json:"exits"`
	// Trials counts the trial runs granted since the request was held.
	Trials int `json:"trials"`
	// IdleMillis is the time since the last crash or granted trial, in milliseconds.
	IdleMillis int64 `json:"idleMillis"`
	// WaitMillis is the time until a held request may be tried, in milliseconds.
	WaitMillis int64 `json:"waitMillis"`
}

// Listings returns the requests with recorded crashes, those with the most first.
func (t *Table) Listings() List {
	list := List{Requests: []Listing{}}
	for _, record := range t.List() {
		if len(record.Engines) == 0 {
			continue
		}
		status := t.Status(record.Fingerprint)
		list.Requests = append(list.Requests, Listing{
			Fingerprint: record.Fingerprint.String(),
			State:       status.State.String(),
			Engines:     record.Engines,
			Exits:       record.Exits,
			Trials:      record.Trials,
			IdleMillis:  record.Idle.Milliseconds(),
			WaitMillis:  status.Wait.Round(time.Millisecond).Milliseconds(),
		})
	}
	return list
}

// Handle registers the operator endpoints for a guard's table.
func Handle(routes *http.ServeMux, guard *Guard) {
	routes.HandleFunc("GET "+ListPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(guard.Table.Listings()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	routes.HandleFunc("POST "+ReleasePath+"{"+fingerprintField+"}", func(w http.ResponseWriter, r *http.Request) {
		fingerprint, err := ParseFingerprint(r.PathValue(fingerprintField))
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case !guard.Release(fingerprint):
			http.Error(w, "no recorded engine crash for this fingerprint", http.StatusNotFound)
		}
	})
}
