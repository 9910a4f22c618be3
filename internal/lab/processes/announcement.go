package processes

import (
	"bytes"
	"io"
	"regexp"
	"strings"
	"sync"
)

// addresses are the host:port addresses that a process announced. Internal is empty for stand-ins.
type addresses struct {
	http, internal string
}

var (
	nodeAnnouncement    = regexp.MustCompile(`msg=started\b.* http=(\S+) internal=(\S+)`)
	standInAnnouncement = regexp.MustCompile(`msg=serving\b.* url=http://(\S+)`)
)

// parseAnnouncement finds the addresses in a line of a log.
func parseAnnouncement(line string) (addresses, bool) {
	if found := nodeAnnouncement.FindStringSubmatch(line); found != nil {
		return addresses{http: found[1], internal: found[2]}, true
	}
	if found := standInAnnouncement.FindStringSubmatch(line); found != nil {
		return addresses{http: strings.TrimSuffix(found[1], "/")}, true
	}
	return addresses{}, false
}

// announcementWriter passes a log on and finds the announcement in it.
type announcementWriter struct {
	log       io.Writer
	announced chan addresses

	mu   sync.Mutex
	line []byte
	done bool
}

func newAnnouncementWriter(log io.Writer) *announcementWriter {
	return &announcementWriter{log: log, announced: make(chan addresses, 1)}
}

// Write implements io.Writer.
func (w *announcementWriter) Write(content []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.search(content)
	}
	return w.log.Write(content)
}

// search looks at each whole line.
func (w *announcementWriter) search(content []byte) {
	w.line = append(w.line, content...)
	for !w.done {
		end := bytes.IndexByte(w.line, '\n')
		if end < 0 {
			return
		}
		found, ok := parseAnnouncement(string(w.line[:end]))
		w.line = w.line[end+1:]
		if ok {
			w.done = true
			w.line = nil
			w.announced <- found
		}
	}
}
