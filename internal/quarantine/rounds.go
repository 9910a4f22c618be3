package quarantine

import "time"

// grantedTrial is a trial with the number of the request's crashes at the time of the grant.
type grantedTrial struct {
	trial     Trial
	crashes   int
	grantedAt time.Time
}

// trialOutcome is what is known of a trial.
type trialOutcome int

const (
	// outcomeNone means that the trial is running, or that its holder is lost.
	outcomeNone trialOutcome = iota
	// outcomeReturned means that the trial came to no outcome.
	outcomeReturned
	// outcomeSound means that the trial completed.
	outcomeSound
	// outcomeCrashed means that an engine exited while it ran the request.
	outcomeCrashed
)

// trialRounds limits how many trials start at a time. Rounds begin with one trial, so that several requests that crash engines are tried one after
// the other. A round without a crash is followed by one of twice as many, so that many innocent requests are released soon.
type trialRounds struct {
	beganAt time.Time
	trials  []grantedTrial
	limit   int
}

// wait returns how long the next trial has to wait. A round ends after trialRound, or as soon as all of its trials have an outcome.
func (r *trialRounds) wait(now time.Time, outcomeOf func(grantedTrial) trialOutcome) time.Duration {
	if len(r.trials) > 0 && len(r.trials) < r.limit && now.Sub(r.beganAt) < trialRound {
		return 0
	}
	var count [outcomeCrashed + 1]int
	for _, granted := range r.trials {
		count[outcomeOf(granted)]++
	}
	if left := trialRound - now.Sub(r.beganAt); count[outcomeNone] > 0 && left > 0 {
		return left
	}
	r.begin(now, count[outcomeCrashed] > 0, count[outcomeNone]+count[outcomeSound])
	return 0
}

// begin starts a round after one in which some trials ran without a crash. The limit starts at one, also after a pause in which no trial was needed.
func (r *trialRounds) begin(now time.Time, crashed bool, survived int) {
	switch {
	case crashed || r.limit == 0 || now.Sub(r.beganAt) > trialRoundsMemory:
		r.limit = 1
	case 2*survived >= r.limit:
		r.limit = min(2*r.limit, maxTrialsPerRound)
	}
	r.beganAt, r.trials = now, nil
}

// add records a trial of the current round.
func (r *trialRounds) add(granted grantedTrial) { r.trials = append(r.trials, granted) }
