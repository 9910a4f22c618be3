package fleetnode

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/covelink/covelink/internal/answercheck"
	"github.com/covelink/covelink/internal/settings"
	"github.com/covelink/covelink/internal/telemetry"
	"github.com/covelink/covelink/platform"
)

// The senders of answers, as counted.
const (
	fromEngine = "engine"
	fromStore  = "store"
	fromDuties = "duties"
)

// reportRefused makes a checker log and count the answers that it refuses.
func reportRefused(answers *answercheck.Checker, sender string, observed *metrics, logger log.Logger) {
	logger = telemetry.For(logger, telemetry.PartFleet)
	answers.Refused = func(address string, reason answercheck.Reason) {
		observed.answersRefused.WithLabelValues(sender, string(reason)).Inc()
		level.Warn(logger).Log("msg", "answer refused", "sender", sender, "address", address, "reason", string(reason))
	}
}

func newEngines(observed *metrics, logger log.Logger) *platform.Engines {
	engines := platform.NewEngines()
	reportRefused(engines.Answers, fromEngine, observed, logger)
	return engines
}

func newStore(config settings.Fleet, observed *metrics, logger log.Logger) *platform.Store {
	store := platform.NewStore(config.Store.Address, observed.storeCalled)
	reportRefused(store.Answers, fromStore, observed, logger)
	return store
}
