// Package telemetry gives each part of a process its logger and the process its metrics.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// The prefixes of the parts: the value of the key "part" in every log line.
const (
	PartNode        = "node"
	PartGateway     = "gateway"
	PartResourceAPI = "resourceapi"
	PartDispatch    = "dispatch"
	PartRollout     = "rollout"
	PartConfigSync  = "configsync"
	PartInventory   = "inventory"
	PartWeights     = "weights"
	PartLease       = "lease"
	PartMembership  = "membership"
	PartKeeper      = "keeper"
	PartClaims      = "claims"
	PartRPC         = "rpc"
	PartLab         = "lab"
	PartFleet       = "fleet"
	PartForward     = "forward"
	PartBatch       = "batch"
	PartElection    = "election"
	PartOrders      = "orders"
	PartDuties      = "duties"
	PartQuarantine  = "quarantine"
)

// NewLogger returns a leveled logger that writes to out. levelName is debug, info, warn or error;
// format is logfmt or json.
func NewLogger(out io.Writer, levelName, format string) log.Logger {
	out = log.NewSyncWriter(out)
	logger := log.NewLogfmtLogger(out)
	if format == "json" {
		logger = log.NewJSONLogger(out)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// For returns the logger of one part.
func For(logger log.Logger, part string) log.Logger {
	return log.With(logger, "part", part)
}
