package main

import "time"

const (
	// stopGrace is grace-s of the settings, and lateAfter how long after the SIGTERM the rule's excuse for long requests ends.
	stopGrace = 8 * time.Second
	lateAfter = 3 * time.Second
)

// keptCall is a client's request on a connection that it keeps, as the client has seen it.
type keptCall struct {
	id       string
	sent     time.Time
	took     time.Duration
	got      reply
	complete bool
}

// judgeStop counts the calls that a sampler has begun to run and whose connection was closed without a complete answer, without those that the rule
// excuses: sent no later than lateAfter after the SIGTERM, with the sampler at work in the last sixth of the grace. work is what a request takes.
func (p *play) judgeStop(calls []keptCall, samplers []*sampler, stopped time.Time, work time.Duration) (held bool) {
	lost, excused := 0, 0
	for _, made := range calls {
		runs := 0
		for _, s := range samplers {
			runs += s.runsOf(made.id)
		}
		if made.complete || runs == 0 {
			continue
		}
		sent, cut := made.sent.Sub(stopped), made.sent.Add(made.took).Sub(stopped)
		if sent <= lateAfter && cut >= stopGrace*5/6 {
			excused++
			continue
		}
		lost++
		p.note("LOST: %s was sent %.3f s after the SIGTERM, passed on, and cut %.3f s after it; its sampler would have ended it after %.3f s", made.id, sent.Seconds(),
			cut.Seconds(), (sent + work).Seconds())
	}
	p.note("%d requests, %d lost, %d cut with an excuse", len(calls), lost, excused)
	return lost == 0
}
