package resourceapi

import (
	"net/url"
	"slices"
	"strconv"
	"time"

	v1 "github.com/covelink/covelink/api/v1"
)

// The query parameters.
const (
	parameterWatch           = "watch"
	parameterResourceVersion = "resourceVersion"
	parameterTimeout         = "timeoutSeconds"
	parameterDryRun          = "dryRun"
	parameterConfirm         = "confirm"

	dryRunAll         = "All"
	maxTimeoutSeconds = 24 * 60 * 60
)

// parameters are the names a query may use. Others are refused: a mistyped dryRun must not write.
type parameters []string

var (
	listParameters   = parameters{parameterWatch, parameterResourceVersion, parameterTimeout}
	writeParameters  = parameters{parameterDryRun, parameterConfirm}
	deleteParameters = parameters{parameterDryRun, parameterConfirm, parameterResourceVersion}
)

// options are the query of a request.
type options struct {
	watch           bool
	resourceVersion string
	// revision is resourceVersion as a number, 0 if there is none.
	revision uint64
	// timeout ends a watch; 0 means never.
	timeout time.Duration
	dryRun  bool
	confirm bool
}

func parseOptions(query url.Values, allowed parameters) (options, error) {
	var parsed options
	for name, values := range query {
		if !slices.Contains(allowed, name) {
			return parsed, invalidParameter(name, "unknown parameter")
		}
		if len(values) != 1 {
			return parsed, invalidParameter(name, "must be stated once")
		}
		if err := parsed.set(name, values[0]); err != nil {
			return parsed, err
		}
	}
	return parsed, nil
}

func (o *options) set(name, value string) error {
	switch name {
	case parameterWatch:
		return setBool(&o.watch, name, value)
	case parameterConfirm:
		return setBool(&o.confirm, name, value)
	case parameterDryRun:
		if value != dryRunAll {
			return invalidParameter(name, "must be "+dryRunAll)
		}
		o.dryRun = true
	case parameterResourceVersion:
		return o.setRevision(value)
	case parameterTimeout:
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 1 || seconds > maxTimeoutSeconds {
			return invalidParameter(name, "must be a number of seconds up to a day")
		}
		o.timeout = time.Duration(seconds) * time.Second
	}
	return nil
}

func (o *options) setRevision(value string) error {
	if value == "" {
		return nil
	}
	revision, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return invalidParameter(parameterResourceVersion, "must be a decimal number")
	}
	o.resourceVersion = value
	o.revision = revision
	return nil
}

func setBool(target *bool, name, value string) error {
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return invalidParameter(name, "must be true or false")
	}
	*target = parsed
	return nil
}

func invalidParameter(name, message string) error {
	return &v1.Error{Code: v1.CodeInvalid, Field: name, Message: message}
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }
