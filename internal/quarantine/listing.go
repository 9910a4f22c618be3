package quarantine

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// ListPath is where a process lists the requests under which engines have ended, with GET.
	ListPath = "/debug/quarantine"
	// ReleasePath is where an operator has a request released, with POST: the fingerprint in hex follows.
	ReleasePath = "/debug/quarantine/release/"
	// fingerprintField names the part of the path.
	fingerprintField = "fingerprint"
)

// List is the answer to ListPath.
type List struct {
	Requests []Listing `json:"requests"`
}

// Listing is what an operator is shown of a request.
type Listing struct {
	Fingerprint string `json:"fingerprint"`
	Standing    string `json:"standing"`
	// Engines are the starts of engines that have ended under the request.
	Engines []string `json:"engines"`
	// Trials is how many runs it was granted since it was held.
	Trials int `json:"trials"`
	// IdleMillis is how long ago the last engine ended or the last trial was granted, in milliseconds.
	IdleMillis int64 `json:"idleMillis"`
	// WaitMillis is after which time a held request may be tried, in milliseconds.
	WaitMillis int64 `json:"waitMillis"`
}

// Listings returns what is known, the requests under which the most engines have ended first.
func (t *Table) Listings() List {
	list := List{Requests: []Listing{}}
	for _, record := range t.List() {
		if len(record.Engines) == 0 {
			continue
		}
		status := t.Status(record.Fingerprint)
		list.Requests = append(list.Requests, Listing{
			Fingerprint: record.Fingerprint.String(),
			Standing:    status.Standing.String(),
			Engines:     record.Engines,
			Trials:      record.Trials,
			IdleMillis:  record.Idle.Milliseconds(),
			WaitMillis:  status.Wait.Round(time.Millisecond).Milliseconds(),
		})
	}
	return list
}

// Handle makes a server answer operators for a guard's table.
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
			http.Error(w, "no engine is known to have ended under this request", http.StatusNotFound)
		}
	})
}
