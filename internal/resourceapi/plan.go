package resourceapi

import (
	"context"
	"errors"
	"strings"

	v1 "github.com/covelink/covelink/api/v1"
)

// The verbs of changes, as in the audit log.
const (
	verbCreate = "create"
	verbUpdate = "update"
	verbDelete = "delete"
)

// change is one checked write.
type change struct {
	verb string
	name string
	// resourceVersion is the version that the checks saw; empty on create.
	resourceVersion string
}

// planCreate checks a new resource against those that exist.
func (a *API) planCreate(r *request, object v1.Object) (change, error) {
	planned := change{verb: verbCreate, name: object.Meta().Name}
	ctx := r.Request.Context()
	_, err := a.backend.Get(ctx, r.kind, planned.name)
	if err == nil {
		return planned, v1.Errorf(v1.CodeConflict, "%s %q already exists", strings.ToLower(string(r.kind)), planned.name)
	}
	if !isNotFound(err) {
		return planned, err
	}
	resources, err := a.load(ctx)
	if err != nil {
		return planned, err
	}
	return planned, a.checkReferences(ctx, object, resources)
}

// checkReferences refuses an object that refers to a resource which neither the reads show nor the store holds.
func (a *API) checkReferences(ctx context.Context, object v1.Object, resources *resourceSet) error {
	if len(v1.ValidateAgainst(object, resources.exists)) == 0 {
		return nil
	}
	var failed error
	faults := v1.ValidateAgainst(object, func(kind v1.Kind, name string) bool {
		if resources.exists(kind, name) {
			return true
		}
		stored, err := a.backend.Stored(ctx, kind, name)
		failed = errors.Join(failed, err)
		return stored
	})
	if failed != nil {
		return v1.NotRun(v1.CodeUnavailable, 0, "references cannot be checked: %s", failed)
	}
	return faults.Err()
}

// planUpdate checks a changed resource against those that exist.
func (a *API) planUpdate(r *request, object v1.Object) (change, error) {
	meta := object.Meta()
	planned := change{verb: verbUpdate, name: meta.Name, resourceVersion: meta.ResourceVersion}
	ctx := r.Request.Context()
	if _, err := a.current(ctx, r.kind, planned.name, meta.ResourceVersion); err != nil {
		return planned, err
	}
	resources, err := a.load(ctx)
	if err != nil {
		return planned, err
	}
	if err := a.checkReferences(ctx, object, resources); err != nil {
		return planned, err
	}
	return planned, r.checkHarm(resources, resources.with(object))
}

// planDelete checks a deletion against the resources that would stay.
func (a *API) planDelete(r *request) (change, error) {
	planned := change{verb: verbDelete, name: r.Param("name")}
	ctx := r.Request.Context()
	current, err := a.current(ctx, r.kind, planned.name, r.options.resourceVersion)
	if err != nil {
		return planned, err
	}
	planned.resourceVersion = current.Meta().ResourceVersion
	resources, err := a.load(ctx)
	if err != nil {
		return planned, err
	}
	return planned, r.checkHarm(resources, resources.without(r.kind, planned.name))
}

// current returns the resource as it is, or a conflict if it is not at the version; empty matches any. Reads that are
// behind the version are waited for.
func (a *API) current(ctx context.Context, kind v1.Kind, name, version string) (v1.Object, error) {
	object, err := a.backend.Get(ctx, kind, name)
	if isNotFound(err) && version != "" || err == nil && isOlder(object.Meta().ResourceVersion, version) {
		a.settleWrite(ctx, kind, name, version)
		object, err = a.backend.Get(ctx, kind, name)
	}
	if err != nil {
		return nil, err
	}
	if actual := object.Meta().ResourceVersion; version != "" && version != actual {
		return nil, v1.Errorf(v1.CodeConflict, "%s %q is at resourceVersion %s, not %s: read it again",
			strings.ToLower(string(kind)), name, actual, version)
	}
	return object, nil
}

// checkHarm refuses an unconfirmed change that does harm.
func (r *request) checkHarm(before, after *resourceSet) error {
	if r.options.confirm {
		return nil
	}
	harm := newHarm(before, after)
	if len(harm) == 0 {
		return nil
	}
	return &confirmationError{message: strings.Join(harm, "; ") + "; repeat with confirm=true to change it all the same"}
}

func isNotFound(err error) bool { return hasCode(err, v1.CodeNotFound) }

func isConflict(err error) bool { return hasCode(err, v1.CodeConflict) }

func hasCode(err error, code v1.ErrorCode) bool {
	var typed *v1.Error
	return errors.As(err, &typed) && typed.Code == code
}
