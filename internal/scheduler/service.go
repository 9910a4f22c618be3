package scheduler

import "time"

// serviceMemory is the share of the old measurement that a new one leaves, and serviceMinimum the number of answers below
// which nothing is predicted.
const (
	serviceMemory  = 0.98
	serviceMinimum = 8
)

// ServiceTime measures how long answers take on engines, by their tokens. The zero ServiceTime predicts nothing. It is not
// safe for concurrent use.
type ServiceTime struct {
	answers int
	weight  float64
	seconds float64
	tokens  float64
}

// Observe takes in an answer.
func (s *ServiceTime) Observe(took time.Duration, tokens int) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.answers = min(s.answers+1, serviceMinimum)
	s.weight = s.weight*serviceMemory + 1
	s.seconds = s.seconds*serviceMemory + took.Seconds()
	s.tokens = s.tokens*serviceMemory + float64(tokens)
}

// Predict returns how long an answer of at most so many tokens is expected to take; zero or less means no bound. What a
// caller states is an upper bound, so that the mean measured length counts when it is shorter. Zero means unknown.
func (s *ServiceTime) Predict(tokens int) time.Duration {
	if s.answers < serviceMinimum {
		return 0
	}
	expected := s.tokens / s.weight
	if tokens > 0 {
		expected = min(expected, float64(tokens))
	}
	return time.Duration(expected * s.seconds / s.tokens * float64(time.Second))
}
