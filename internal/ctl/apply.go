package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/urfave/cli/v3"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/commandline"
	"github.com/covelink/covelink/internal/resourceapi"
)

const (
	maxWriteTries     = 10
	firstRetryDelay   = 50 * time.Millisecond
	longestRetryDelay = 2 * time.Second
	defaultWait       = time.Minute
)

func applyCommand(streams commandline.Streams) *cli.Command {
	flags := append(writeFlags(),
		&cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, Usage: "file or folder of resources, or - for the standard input"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every resource is Accepted and InForce"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "how long to wait", Value: defaultWait},
	)
	return &cli.Command{
		Name:      "apply",
		Usage:     "create or update the resources of files; all are checked before one is written",
		ArgsUsage: "-f FILE|DIR|-",
		Flags:     flags,
		Action: func(ctx context.Context, command *cli.Command) error {
			return apply(ctx, command, streams)
		},
	}
}

func apply(ctx context.Context, command *cli.Command, streams commandline.Streams) error {
	if _, err := commandline.Arguments(command, 0, 0); err != nil {
		return err
	}
	paths := command.StringSlice(flagFile)
	if len(paths) == 0 {
		return commandline.UsageErrorf("usage: covelinkctl apply -f FILE|DIR|-")
	}
	if command.Duration(flagTimeout) <= 0 {
		return commandline.UsageErrorf("--timeout: must be above 0")
	}
	items, err := loadItems(paths, streams.In)
	if err != nil {
		return err
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	applier := &applier{client: client, items: items, options: readWriteOptions(command), out: streams.Out}
	if err := applier.check(ctx); err != nil {
		return err
	}
	if applier.options.dryRun {
		return nil
	}
	if err := applier.write(ctx); err != nil {
		return err
	}
	if command.Bool(flagWait) {
		return waitInForce(ctx, client, items, command.Duration(flagTimeout))
	}
	return nil
}

// applier writes a set of resources.
type applier struct {
	client  *client
	items   []item
	options writeOptions
	out     io.Writer
}

// The results of a write, as printed.
const (
	resultCreated    = "created"
	resultConfigured = "configured"
	resultUnchanged  = "unchanged"
)

// check asks the server about every resource without changing any: references first, then each as a dry run.
func (a *applier) check(ctx context.Context) error {
	onServer, err := a.existing(ctx)
	if err != nil {
		return err
	}
	inFiles := make(map[string]bool, len(a.items))
	for _, current := range a.items {
		inFiles[current.id()] = true
	}
	exists := func(kind v1.Kind, name string) bool {
		id := referenceID(kind, name)
		return inFiles[id] || onServer[id]
	}
	for _, current := range a.items {
		if faults := v1.ValidateAgainst(current.object, exists); len(faults) > 0 {
			return current.fault(faults)
		}
	}
	for _, current := range a.items {
		// A resource that refers to one of this set that is not yet stored would be refused by a dry run.
		if !refersOnlyTo(current.object, onServer) {
			a.reportDryRun(current, resultCreated)
			continue
		}
		result, err := a.dryRun(ctx, current)
		if err != nil {
			return fmt.Errorf("%s: line %d: %s: %w", current.file, current.document.Line, current.id(), err)
		}
		a.reportDryRun(current, result)
	}
	return nil
}

func referenceID(kind v1.Kind, name string) string {
	object := v1.NewObject(kind)
	object.Meta().Name = name
	return objectID(object)
}

func refersOnlyTo(object v1.Object, known map[string]bool) bool {
	for _, reference := range v1.References(object) {
		if !known[referenceID(reference.Kind, reference.Name)] {
			return false
		}
	}
	return true
}

// existing returns the ids of every resource on the server.
func (a *applier) existing(ctx context.Context) (map[string]bool, error) {
	found := make(map[string]bool)
	for _, kind := range v1.Kinds {
		objects, err := a.client.list(ctx, kind)
		if err != nil {
			return nil, err
		}
		for _, object := range objects {
			found[objectID(object)] = true
		}
	}
	return found, nil
}

func (a *applier) dryRun(ctx context.Context, current item) (string, error) {
	options := a.options
	options.dryRun = true
	return a.retry(ctx, current, options)
}

func (a *applier) reportDryRun(current item, result string) {
	if a.options.dryRun {
		a.report(current, result+" (dry run)")
	}
}

func (a *applier) report(current item, result string) {
	_, _ = fmt.Fprintf(a.out, "%s %s\n", current.id(), result)
}

func (a *applier) write(ctx context.Context) error {
	for done, current := range a.items {
		result, err := a.retry(ctx, current, a.options)
		if err != nil {
			return fmt.Errorf("%s: line %d: %s: %w (%d of %d resources are applied)",
				current.file, current.document.Line, current.id(), err, done, len(a.items))
		}
		a.report(current, result)
	}
	return nil
}

// retry writes a resource until the server holds it. Each try reads the resource first, so that a try whose answer
// was lost is not repeated if it took effect.
func (a *applier) retry(ctx context.Context, current item, options writeOptions) (string, error) {
	written := ""
	try := func() (string, error) {
		result, err := a.tryWrite(ctx, current, options)
		if err == nil && result == resultUnchanged && written != "" {
			return written, nil
		}
		if err != nil && !mayRetry(current, err) {
			return "", backoff.Permanent(err)
		}
		written = result
		return result, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	delays.MaxInterval = longestRetryDelay
	return backoff.Retry(ctx, try, backoff.WithBackOff(delays), backoff.WithMaxTries(maxWriteTries))
}

// tryWrite returns what it wrote, or tried to write if it returns an error.
func (a *applier) tryWrite(ctx context.Context, current item, options writeOptions) (string, error) {
	stored, err := a.client.get(ctx, current.object.ObjectKind(), current.object.Meta().Name)
	if err != nil {
		return "", err
	}
	stated := current.object.Meta().ResourceVersion
	if stored == nil {
		if stated != "" {
			return "", errDeleted
		}
		return resultCreated, a.client.create(ctx, current.object, options)
	}
	if sameContent(stored, current.object) {
		return resultUnchanged, nil
	}
	if stated != "" {
		return resultConfigured, a.client.update(ctx, current.object, options)
	}
	return resultConfigured, a.client.update(ctx, withVersion(current.object, stored.Meta().ResourceVersion), options)
}

// errDeleted reports a resource that its file expects to exist.
var errDeleted = errors.New("the file states a resourceVersion, but the resource does not exist")

// mayRetry reports whether another try can succeed. A conflict with a resourceVersion that the file states is final:
// the operator has to read what the other one wrote.
func mayRetry(current item, err error) bool {
	if hasReason(err, resourceapi.ReasonConflict) {
		return current.object.Meta().ResourceVersion == ""
	}
	var refused *serverError
	if errors.As(err, &refused) {
		code := refused.status.Code
		return code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout || code == http.StatusTooManyRequests
	}
	var lost *lostError
	var unreachable *unreachableError
	return errors.As(err, &lost) || errors.As(err, &unreachable)
}

// content is what an operator writes of a resource.
type content struct {
	Labels map[string]string `json:"labels,omitempty"`
	Spec   json.RawMessage   `json:"spec"`
}

// sameContent reports whether two resources state the same. Fields that one of them lacks have their defaults.
func sameContent(stored, wanted v1.Object) bool {
	v1.Default(stored)
	return contentOf(stored) == contentOf(wanted)
}

func contentOf(object v1.Object) string {
	whole, err := json.Marshal(object)
	if err != nil {
		panic(fmt.Sprintf("a resource has no JSON form: %s", err))
	}
	var parts content
	if err := json.Unmarshal(whole, &parts); err != nil {
		panic(fmt.Sprintf("a resource's JSON form is not an object: %s", err))
	}
	parts.Labels = object.Meta().Labels
	text, err := json.Marshal(parts)
	if err != nil {
		panic(fmt.Sprintf("a resource's content has no JSON form: %s", err))
	}
	return string(text)
}

// withVersion returns the resource with another resourceVersion; the given one is not changed.
func withVersion(object v1.Object, version string) v1.Object {
	switch typed := object.(type) {
	case *v1.Zone:
		copied := *typed
		object = &copied
	case *v1.Pool:
		copied := *typed
		object = &copied
	case *v1.Trainer:
		copied := *typed
		object = &copied
	case *v1.Application:
		copied := *typed
		object = &copied
	}
	object.Meta().ResourceVersion = version
	return object
}
