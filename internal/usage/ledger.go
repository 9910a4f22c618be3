package usage

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// windowState is how far a window has come.
type windowState int

const (
	// windowOpen: counts are taken in.
	windowOpen windowState = iota
	// windowFixed: the counts are final, and a report may have been sent.
	windowFixed
	// windowReported: the platform has taken a report.
	windowReported
)

// ledger holds what all meters have told, by window. It is not safe for concurrent use.
type ledger struct {
	// first is the first window that is reported: the one in which the first term began.
	first   Window
	windows map[Window]*ledgerWindow
	// reportedTo is the window up to which all were reported, itself included.
	reportedTo Window
}

// ledgerWindow is a window in the ledger. Its fields are exported for encoding/gob.
type ledgerWindow struct {
	State windowState
	// Sources are the counts by meter while the window is open.
	Sources map[string]Counts
	// Final are the counts once it is not.
	Final Counts
}

func newLedger() *ledger {
	return &ledger{windows: make(map[Window]*ledgerWindow)}
}

// begin makes a window the first, unless there is one.
func (l *ledger) begin(window Window) {
	if l.first == 0 {
		l.first, l.reportedTo = window, window-1
	}
}

// window returns a window that is not reported yet.
func (l *ledger) window(number Window) *ledgerWindow {
	known, ok := l.windows[number]
	if !ok {
		known = &ledgerWindow{Sources: make(map[string]Counts)}
		l.windows[number] = known
	}
	return known
}

// take takes in what a meter has told. changed is true if something new came, and late counts the requests that came after their window
// was fixed.
func (l *ledger) take(request TellRequest) (changed bool, late int64) {
	for _, told := range request.Windows {
		if told.Window <= l.reportedTo {
			continue
		}
		known := l.window(told.Window)
		counts, ok := known.Sources[request.Source]
		if !ok {
			counts = make(Counts)
		}
		grown := counts.raise(told.Counts)
		if known.State != windowOpen {
			continue
		}
		known.Sources[request.Source] = counts
		changed = changed || grown
	}
	return changed, l.countLate(request)
}

// countLate returns how many requests of a message came after their window was fixed. A message that repeats what the final counts hold
// cannot be told from one that does not, once its source is summed up: only tenants whose count alone is above the final one are counted.
func (l *ledger) countLate(request TellRequest) (late int64) {
	for _, told := range request.Windows {
		known, ok := l.windows[told.Window]
		if !ok || known.State == windowOpen {
			continue
		}
		for tenant, count := range told.Counts {
			late += max(0, count-known.Final[tenant])
		}
	}
	return late
}

// fix makes the counts of a window final.
func (l *ledger) fix(number Window) {
	known := l.window(number)
	if known.State != windowOpen {
		return
	}
	known.Final = make(Counts)
	for _, counts := range known.Sources {
		known.Final.add(counts)
	}
	known.Sources = nil
	known.State = windowFixed
}

// reported notes that the platform has taken a window's report.
func (l *ledger) reported(number Window) {
	l.window(number).State = windowReported
	for {
		next, ok := l.windows[l.reportedTo+1]
		if !ok || next.State != windowReported {
			return
		}
		l.reportedTo++
		delete(l.windows, l.reportedTo)
	}
}

// isReported reports whether a window needs no report any more.
func (l *ledger) isReported(number Window) bool {
	known, ok := l.windows[number]
	return number <= l.reportedTo || ok && known.State == windowReported
}

// fixed returns the windows whose counts are final and that are not reported, oldest first.
func (l *ledger) fixed() []Report {
	var reports []Report
	for _, number := range slices.Sorted(maps.Keys(l.windows)) {
		if known := l.windows[number]; known.State == windowFixed {
			reports = append(reports, Report{Window: number, Counts: known.Final})
		}
	}
	return reports
}

// merge takes in what another ledger holds, such as the one in the store: of two fixed windows the other's counts stand, as a report of
// them may have been sent.
func (l *ledger) merge(other *ledger) {
	if other.first != 0 && other.first != l.first {
		// This ledger was begun by a later term, or has been one with the other since it was read.
		l.first, l.reportedTo = other.first, other.reportedTo
	}
	l.reportedTo = max(l.reportedTo, other.reportedTo)
	for number, theirs := range other.windows {
		if theirs.State != windowOpen {
			l.windows[number] = theirs
			continue
		}
		ours := l.window(number)
		if ours.State != windowOpen {
			continue
		}
		for source, counts := range theirs.Sources {
			if ours.Sources[source] == nil {
				ours.Sources[source] = make(Counts)
			}
			ours.Sources[source].raise(counts)
		}
	}
	for number := range l.windows {
		if number <= l.reportedTo {
			delete(l.windows, number)
		}
	}
}

// ledgerSpec is the content of the ledger's object in the store.
type ledgerSpec struct {
	// Token is that of the term that wrote it.
	Token int64 `json:"token"`
	// First and ReportedTo are the ledger's, for whoever looks at the store.
	First      Window `json:"first"`
	ReportedTo Window `json:"reportedTo"`
	// Windows are those that are not reported, by encoding/gob and compressed: a source's name stands in each.
	Windows []byte `json:"windows"`
}

// compressors are kept for the next ledger: each takes more than a megabyte.
var compressors = sync.Pool{New: func() any {
	// The level is one that the package knows.
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return compressor
}}

func (l *ledger) encode(token int64) ([]byte, error) {
	var packed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	if err := gob.NewEncoder(compressor).Encode(l.windows); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(ledgerSpec{Token: token, First: l.first, ReportedTo: l.reportedTo, Windows: packed.Bytes()})
}

func decodeLedger(content []byte) (decoded *ledger, token int64, err error) {
	var spec ledgerSpec
	if err := json.Unmarshal(content, &spec); err != nil {
		return nil, 0, fmt.Errorf("usage: ledger: %w", err)
	}
	decoded = newLedger()
	decoded.first, decoded.reportedTo = spec.First, spec.ReportedTo
	reader := flate.NewReader(bytes.NewReader(spec.Windows))
	defer reader.Close()
	if err := gob.NewDecoder(reader).Decode(&decoded.windows); err != nil {
		return nil, 0, fmt.Errorf("usage: ledger: %w", err)
	}
	for _, known := range decoded.windows {
		// encoding/gob leaves out empty maps.
		if known.Sources == nil && known.State == windowOpen {
			known.Sources = make(map[string]Counts)
		}
	}
	return decoded, spec.Token, nil
}
