package v1

import (
	"fmt"
	"maps"
	"math"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// The greatest values that are accepted.
const (
	MaxPermittedZones    = 64
	MaxDrainingEngines   = 1024
	MaxPoolsPerApp       = 256
	MaxTokenHashes       = 64
	MaxLabels            = 64
	MaxTokensLimit       = 1 << 20
	MaxConcurrentLimit   = 1 << 16
	MaxStalenessBound    = 1 << 20
	MaxInFlightLimit     = 1 << 20
	MaxWeight            = 1000
	MaxRequestsPerSecond = 1e6
	MaxBurst             = 1 << 20
	MaxTimeoutMillis     = 24 * 60 * 60 * 1000

	maxLabelLength     = 63
	maxSubdomainLength = 253
	maxModelLength     = 253
	maxLabelKeyLength  = maxSubdomainLength + 1 + maxLabelLength
)

var (
	labelPattern      = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?$`)
	labelKeyPattern   = regexp.MustCompile(`^([a-z0-9]([-a-z0-9.]*[a-z0-9])?/)?[A-Za-z0-9]([-A-Za-z0-9_.]*[A-Za-z0-9])?$`)
	labelValuePattern = regexp.MustCompile(`^([A-Za-z0-9]([-A-Za-z0-9_.]*[A-Za-z0-9])?)?$`)
	tokenHashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError is one fault of a resource.
type FieldError struct {
	// Path is the field, as in spec.permittedZones[1].
	Path    string
	Message string
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// FieldErrors holds every fault found in a resource, in the order of its fields. It is one error; its text is one line.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	texts := make([]string, 0, len(e))
	for _, fault := range e {
		texts = append(texts, fault.Error())
	}
	return strings.Join(texts, "; ")
}

// Err returns the faults as an error, or nil if there is none.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

func (e *FieldErrors) add(path, format string, args ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Validate checks a resource by itself, after Default. The result is empty for a valid resource.
func Validate(object Object) FieldErrors {
	var faults FieldErrors
	validateMeta(&faults, object.Meta())
	switch typed := object.(type) {
	case *Zone:
		faults.label("spec.region", typed.Spec.Region)
	case *Pool:
		validatePool(&faults, &typed.Spec)
	case *Trainer:
		validateTrainer(&faults, &typed.Spec)
	case *Application:
		validateApplication(&faults, &typed.Spec)
	}
	return faults
}

// Lookup reports whether a resource exists.
type Lookup func(kind Kind, name string) bool

// ValidateAgainst checks that every resource that the object refers to exists.
func ValidateAgainst(object Object, exists Lookup) FieldErrors {
	var faults FieldErrors
	for _, reference := range References(object) {
		if !exists(reference.Kind, reference.Name) {
			faults.add(reference.Path, "%s %q does not exist", strings.ToLower(string(reference.Kind)), reference.Name)
		}
	}
	return faults
}

func validateMeta(faults *FieldErrors, meta *ObjectMeta) {
	faults.label("metadata.name", meta.Name)
	if meta.ResourceVersion != "" {
		if _, err := strconv.ParseUint(meta.ResourceVersion, 10, 64); err != nil {
			faults.add("metadata.resourceVersion", "must be a decimal number")
		}
	}
	if meta.Generation < 0 {
		faults.add("metadata.generation", "must not be negative, is %d", meta.Generation)
	}
	validateLabels(faults, meta.Labels)
}

func validateLabels(faults *FieldErrors, labels map[string]string) {
	if len(labels) > MaxLabels {
		faults.add("metadata.labels", "must have at most %d entries, has %d", MaxLabels, len(labels))
	}
	for _, key := range sortedKeys(labels) {
		if len(key) > maxLabelKeyLength || !labelKeyPattern.MatchString(key) {
			faults.add("metadata.labels", "%q is not a label key", key)
		}
		value := labels[key]
		if len(value) > maxLabelLength || !labelValuePattern.MatchString(value) {
			faults.add("metadata.labels["+key+"]", "must be at most %d letters, digits, '-', '_' or '.'", maxLabelLength)
		}
	}
}

func validatePool(faults *FieldErrors, spec *PoolSpec) {
	faults.model("spec.model", spec.Model)
	faults.labels("spec.permittedZones", spec.PermittedZones, MaxPermittedZones)
	faults.engines("spec.drainingEngines", spec.DrainingEngines)
	faults.between("spec.maxTokens", int64(spec.MaxTokens), 1, MaxTokensLimit)
	faults.between("spec.maxConcurrent", int64(spec.MaxConcurrent), 1, MaxConcurrentLimit)
	if spec.MaxConcurrent >= 1 {
		faults.between("spec.interactiveReserve", int64(spec.InteractiveReserve), 0, int64(spec.MaxConcurrent)-1)
	}
}

func validateTrainer(faults *FieldErrors, spec *TrainerSpec) {
	faults.label("spec.pool", spec.Pool)
	faults.between("spec.stalenessBound", spec.StalenessBound, 0, MaxStalenessBound)
	faults.between("spec.maxInFlight", int64(spec.MaxInFlight), 1, MaxInFlightLimit)
	faults.between("spec.weight", int64(spec.Weight), 1, MaxWeight)
	faults.scorer("spec.scorer", spec.Scorer)
	faults.tokenHashes("spec.tokenHashes", spec.TokenHashes)
}

func validateApplication(faults *FieldErrors, spec *ApplicationSpec) {
	faults.labels("spec.pools", spec.Pools, MaxPoolsPerApp)
	faults.rate("spec.requestsPerSecond", spec.RequestsPerSecond)
	faults.between("spec.burst", int64(spec.Burst), 1, MaxBurst)
	faults.between("spec.maxInFlight", int64(spec.MaxInFlight), 1, MaxInFlightLimit)
	faults.between("spec.timeoutMillis", int64(spec.TimeoutMillis), 1, MaxTimeoutMillis)
	faults.tokenHashes("spec.tokenHashes", spec.TokenHashes)
}

// label checks an RFC 1123 label.
func (e *FieldErrors) label(path, value string) {
	if value == "" {
		e.add(path, "is required")
		return
	}
	if len(value) > maxLabelLength || !labelPattern.MatchString(value) {
		e.add(path, "must be an RFC 1123 label: at most %d lower-case letters, digits or '-', starting and ending with a letter or digit", maxLabelLength)
	}
}

// labels checks a list of distinct RFC 1123 labels with at least one entry.
func (e *FieldErrors) labels(path string, values []string, limit int) {
	if len(values) == 0 {
		e.add(path, "must name at least one")
	}
	e.distinct(path, values, limit)
	for index, value := range values {
		e.label(indexed(path, index), value)
	}
}

// engines checks a list of distinct engine names, which may have dots.
func (e *FieldErrors) engines(path string, values []string) {
	e.distinct(path, values, MaxDrainingEngines)
	for index, value := range values {
		if len(value) > maxSubdomainLength {
			e.add(indexed(path, index), "must have at most %d characters", maxSubdomainLength)
			continue
		}
		for label := range strings.SplitSeq(value, ".") {
			if !labelPattern.MatchString(label) {
				e.add(indexed(path, index), "must be RFC 1123 labels joined by dots")
				break
			}
		}
	}
}

func (e *FieldErrors) distinct(path string, values []string, limit int) {
	if len(values) > limit {
		e.add(path, "must have at most %d entries, has %d", limit, len(values))
	}
	first := make(map[string]int, len(values))
	for index, value := range values {
		if earlier, found := first[value]; found {
			e.add(indexed(path, index), "repeats entry %d", earlier)
			continue
		}
		first[value] = index
	}
}

func (e *FieldErrors) between(path string, value, low, high int64) {
	if value < low || value > high {
		e.add(path, "must be between %d and %d, is %d", low, high, value)
	}
}

func (e *FieldErrors) rate(path string, value float64) {
	if math.IsNaN(value) || value <= 0 || value > MaxRequestsPerSecond {
		e.add(path, "must be above 0 and at most %d, is %v", int(MaxRequestsPerSecond), value)
	}
}

func (e *FieldErrors) model(path, value string) {
	if value == "" {
		e.add(path, "is required")
		return
	}
	unprintable := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if len(value) > maxModelLength || strings.ContainsFunc(value, unprintable) {
		e.add(path, "must be at most %d printable characters without spaces", maxModelLength)
	}
}

// scorer checks a base URL. The value is not repeated in the message: it may hold a secret by mistake.
func (e *FieldErrors) scorer(path, value string) {
	if value == "" {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		e.add(path, "must be an http or https URL with a host")
		return
	}
	if parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		e.add(path, "must have no user, query or fragment")
	}
}

// tokenHashes never repeats a value: whoever mistakes a token for its hash must not find it in a log.
func (e *FieldErrors) tokenHashes(path string, values []string) {
	if len(values) == 0 {
		e.add(path, "must name at least one")
	}
	e.distinct(path, values, MaxTokenHashes)
	for index, value := range values {
		if !tokenHashPattern.MatchString(value) {
			e.add(indexed(path, index), "must be a SHA-256 hash: 64 lower-case hex digits")
		}
	}
}

func indexed(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }

func sortedKeys(values map[string]string) []string {
	return slices.Sorted(maps.Keys(values))
}
