package scheduler

import "time"

// serviceDecay is the weight that earlier measurements keep at each new one, and minServiceSamples the number of answers below which
// nothing is predicted.
const (
	serviceDecay      = 0.98
	minServiceSamples = 8
)

// ServiceTime estimates the duration of answers from their tokens. The zero ServiceTime predicts nothing. It is not safe for concurrent
// use.
type ServiceTime struct {
	answers int
	weight  float64
	seconds float64
	tokens  float64
}

// Observe adds a completed answer.
func (s *ServiceTime) Observe(took time.Duration, tokens int) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.answers = min(s.answers+1, minServiceSamples)
	s.weight = s.weight*serviceDecay + 1
	s.seconds = s.seconds*serviceDecay + took.Seconds()
	s.tokens = s.tokens*serviceDecay + float64(tokens)
}

// Predict returns the expected duration of an answer of at most the given number of tokens; zero or less means no bound. The measured mean
// length applies if it is shorter. It returns zero while unknown.
func (s *ServiceTime) Predict(tokens int) time.Duration {
	if s.answers < minServiceSamples {
		return 0
	}
	expected := s.tokens / s.weight
	if tokens > 0 {
		expected = min(expected, float64(tokens))
	}
	return time.Duration(expected * s.seconds / s.tokens * float64(time.Second))
}
