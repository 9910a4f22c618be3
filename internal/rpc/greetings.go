package rpc

import (
	"net"
	"slices"
)

func (s *Server) greetingLimit() int {
	if s.MaxGreetings != nil {
		return max(s.MaxGreetings(), 1)
	}
	return defaultMaxGreetings
}

// greet notes a connection whose peer is not known yet, and closes the oldest ones beyond the limit. The mutex must be held.
func (s *Server) greet(conn net.Conn, limit int) {
	s.greetings = append(s.greetings, conn)
	for len(s.greetings) > limit {
		// Its own goroutine ends it for good.
		s.greetings[0].Close()
		s.greetings = slices.Delete(s.greetings, 0, 1)
	}
}

// greeted notes that the peer of a connection is known, or never will be.
func (s *Server) greeted(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.greetings, conn); i >= 0 {
		s.greetings = slices.Delete(s.greetings, i, i+1)
	}
}
