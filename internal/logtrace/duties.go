package logtrace

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Messages that tell of duties and of callers that were refused.
const (
	messageDutiesBegun   = "duties begun"
	messageUsageReported = "usage reported"
	messageCountsLate    = "counts came after their window was fixed"
	messageCountsLeft    = "counts left in the store"
	messageEngineOrder   = "engines ordered"
	messageCallerRefused = "caller refused"
)

const (
	// maxWindows bounds the windows that are told of: a day of windows of five seconds.
	maxWindows = 20_000
	// noError is how a line tells that nothing went wrong.
	noError = "null"
)

// ErrNoDuties reports logs that tell of no duty.
var ErrNoDuties = errors.New("no line of these logs tells of a duty or a refused caller: are they those of all processes, at level info?")

// DutyTerm is the time in which a process did the duties.
type DutyTerm struct {
	Node  string
	Token string
	Since time.Time
}

// UsageWindow is what was done to report a window.
type UsageWindow struct {
	Number   int64
	Tenants  string
	Requests string
	// Attempts counts the calls, and LastError is that of the newest that failed; empty if none did.
	Attempts  int
	LastError string
	// Reported is when the report was taken, After how long after the window's end, and Node who sent it; zero if it was not.
	Reported time.Time
	After    string
	Node     string
}

// Refused counts callers that were refused for one reason, with one key.
type Refused struct {
	Reason string
	// KeyHash is the beginning of the key's hash; empty if there was none.
	KeyHash string
	Count   int
	// Last is the newest of them, by the version of the configuration that decided.
	Last   time.Time
	Config string
}

// Duties is what logs tell of duties.
type Duties struct {
	Terms   []DutyTerm
	Windows []*UsageWindow
	Orders  []Line
	Refused []*Refused
	// LateCounts are the lines of counts that came too late, and LeftCounts those of gateways that reached no coordinating process.
	LateCounts, LeftCounts []Line
}

// ReadDuties returns what the logs of a folder tell of duties.
func ReadDuties(folder string) (*Duties, error) {
	lines, err := ReadFolder(folder)
	if err != nil {
		return nil, err
	}
	d := dutiesOf(lines)
	if len(d.Terms)+len(d.Windows)+len(d.Refused) == 0 {
		return nil, ErrNoDuties
	}
	return d, nil
}

// dutiesOf gathers what lines tell, which are in the order of their times.
func dutiesOf(lines []Line) *Duties {
	d := &Duties{}
	windows := make(map[int64]*UsageWindow)
	refused := make(map[[2]string]*Refused)
	for _, line := range lines {
		switch line.Message {
		case messageDutiesBegun:
			d.Terms = append(d.Terms, DutyTerm{Node: line.Node, Token: line.Get("token"), Since: line.Time})
		case messageUsageReported:
			noteReport(windows, line)
		case messageCountsLate:
			d.LateCounts = append(d.LateCounts, line)
		case messageCountsLeft:
			d.LeftCounts = append(d.LeftCounts, line)
		case messageEngineOrder:
			d.Orders = append(d.Orders, line)
		case messageCallerRefused:
			noteRefused(refused, line)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(windows)) {
		d.Windows = append(d.Windows, windows[number])
	}
	d.Refused = slices.SortedFunc(maps.Values(refused), func(a, b *Refused) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason+a.KeyHash, b.Reason+b.KeyHash))
	})
	return d
}

func noteReport(windows map[int64]*UsageWindow, line Line) {
	number, err := strconv.ParseInt(line.Get("window"), 10, 64)
	if err != nil {
		return
	}
	known, ok := windows[number]
	if !ok {
		if len(windows) >= maxWindows {
			return
		}
		known = &UsageWindow{Number: number}
		windows[number] = known
	}
	known.Attempts++
	known.Tenants, known.Requests = line.Get("tenants"), line.Get("requests")
	if failure := line.Get("err"); failure != noError {
		known.LastError = failure
		return
	}
	known.Reported, known.After, known.Node = line.Time, line.Get("after"), line.Node
}

func noteRefused(refused map[[2]string]*Refused, line Line) {
	key := [2]string{line.Get("reason"), line.Get("key_hash")}
	known, ok := refused[key]
	if !ok {
		known = &Refused{Reason: key[0], KeyHash: key[1]}
		refused[key] = known
	}
	known.Count++
	known.Last, known.Config = line.Time, line.Get("config")
}

// WriteDuties writes who held the duties since when, how each window was reported, what was ordered, and which callers were refused.
func WriteDuties(out io.Writer, d *Duties) error {
	var err error
	write := func(format string, values ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format, values...)
		}
	}
	write("holders of the duties\n")
	for _, term := range d.Terms {
		write("  %s  %s, token %s\n", term.Since.Format(time.RFC3339), term.Node, term.Token)
	}
	write("windows of use\n")
	for _, window := range d.Windows {
		write("  %s\n", window)
	}
	for _, line := range slices.Concat(d.LateCounts, d.LeftCounts) {
		write("  %s  %s\n", line.Time.Format(time.RFC3339), line)
	}
	write("orders of engines\n")
	for _, line := range d.Orders {
		write("  %s  %s/%s: %s ordered, %s ran, %s (%s)\n", line.Time.Format(time.RFC3339), line.Get("service"), line.Get("zone"),
			line.Get("desired"), line.Get("running"), line.Get("reason"), outcomeOf(line.Get("err")))
	}
	write("refused callers\n")
	for _, refused := range d.Refused {
		write("  %d times, %s%s, last %s by configuration %s\n", refused.Count, refused.Reason, keyOf(refused.KeyHash),
			refused.Last.Format(time.RFC3339), refused.Config)
	}
	return err
}

// String returns a line about the window.
func (w *UsageWindow) String() string {
	text := fmt.Sprintf("window %d: %s requests of %s tenants, %d attempts", w.Number, w.Requests, w.Tenants, w.Attempts)
	if w.LastError != "" {
		text += ", last failure: " + w.LastError
	}
	if w.Reported.IsZero() {
		return text + ", never taken"
	}
	return text + fmt.Sprintf(", taken %s after its end from %s", w.After, w.Node)
}

func outcomeOf(failure string) string {
	if failure == noError {
		return "taken"
	}
	return failure
}

func keyOf(hash string) string {
	if hash == "" {
		return ""
	}
	return " with hash " + hash
}
