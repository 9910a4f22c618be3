package survival

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// guardSeeds are tried to catch a rule switched off.
const guardSeeds = 60

// caught returns the first result that sees in a world without the rule; false if none does.
func caught(rules guards, sees func(Result) bool, faults ...Fault) (Result, bool) {
	for seed := range uint64(guardSeeds) {
		for _, fault := range faults {
			if result := run(fault, seed+1, rules); sees(result) {
				return result, true
			}
		}
	}
	return Result{}, false
}

// shows runs without the rule, and with it under the seed that showed its absence.
func shows(rules guards, sees func(Result) bool, faults ...Fault) {
	result, found := caught(rules, sees, faults...)
	So(found, ShouldBeTrue)
	So(Run(result.Fault, result.Seed).Breaches, ShouldBeEmpty)
}

func TestGuardFencing(t *testing.T) {
	Convey("Replicas without fencing let an owner write on whose clocks stood still: committed entries are lost", t, func() {
		shows(guards{noFencing: true}, func(r Result) bool { return !r.Kept() }, "owner-frozen-with-clocks")
	})
}

func TestGuardMajority(t *testing.T) {
	Convey("Half of the keepers as a majority let a request run twice", t, func() {
		shows(guards{halfMajority: true}, func(r Result) bool { return r.DoubleExecutions > 0 }, "same-key-twice")
	})
}

func TestGuardStaleness(t *testing.T) {
	Convey("An owner without the staleness check hands over stale samples", t, func() {
		shows(guards{noStaleness: true}, func(r Result) bool { return r.Stale > 0 }, "owner-killed", "fetch-reply-lost")
	})
}

func TestGuardClaimBeforeSend(t *testing.T) {
	Convey("A gateway that sends before it claims lets a request run twice", t, func() {
		shows(guards{sendFirst: true}, func(r Result) bool { return r.DoubleExecutions > 0 }, "same-key-twice")
	})
}

func TestGuardAbstainingKeeper(t *testing.T) {
	Convey("A keeper that grants though it lost its table lets a request run twice", t, func() {
		shows(guards{noAbstaining: true}, func(r Result) bool { return r.DoubleExecutions > 0 }, "three-keepers-emptied+gateway-dies-after-claim")
	})
}

func TestGuardAbstainingVoter(t *testing.T) {
	Convey("Voters that grant right after a restart make two holders of the lease", t, func() {
		shows(guards{noVoterPause: true}, func(r Result) bool { return r.Other > 0 }, "other-voters-restarted")
	})
}

func TestGuardForeignEvents(t *testing.T) {
	Convey("A stream that takes events of other lives and requests hands over what is not the answer", t, func() {
		shows(guards{acceptForeign: true}, func(r Result) bool { return !r.Kept() }, "frames-disturbed")
	})
}
