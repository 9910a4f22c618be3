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
	return log.With(shortener{logger}, "ts", log.DefaultTimestampUTC)
}

// maxValueBytes bounds a value in a line: some are what a client sent.
const maxValueBytes = 512

// shortener cuts long values.
type shortener struct{ next log.Logger }

// Log implements log.Logger.
func (s shortener) Log(fields ...any) error {
	for i, field := range fields {
		switch value := field.(type) {
		case string:
			fields[i] = shortened(value)
		case error:
			if text, ok := textOf(value); ok && len(text) > maxValueBytes {
				fields[i] = shortened(text)
			}
		}
	}
	return s.next.Log(fields...)
}

// textOf returns the text of an error; false for a nil pointer, which the formats know how to write.
func textOf(err error) (text string, ok bool) {
	defer func() { _ = recover() }()
	return err.Error(), true
}

// shortened returns a value without what exceeds the bound.
func shortened(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}

// For returns the logger of one part.
func For(logger log.Logger, part string) log.Logger {
	return log.With(logger, "part", part)
}
