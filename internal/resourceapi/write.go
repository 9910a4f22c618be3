package resourceapi

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/covelink/covelink/api/v1"
)

func (a *API) create(r *request) error {
	object, err := r.readObject()
	if err != nil {
		return err
	}
	if object.Meta().ResourceVersion != "" {
		return v1.FieldErrors{{Path: "metadata.resourceVersion", Message: "must not be set on create"}}
	}
	change, err := a.planCreate(r, object)
	if err != nil {
		return err
	}
	if r.options.dryRun {
		r.object(http.StatusCreated, object)
		return nil
	}
	stored, err := a.backend.Create(r.Request.Context(), object)
	if err != nil {
		return a.failedWrite(r, change, err)
	}
	a.audit(r, change, stored.Meta().ResourceVersion)
	a.settleWrite(r.Request.Context(), r.kind, change.name, stored.Meta().ResourceVersion)
	r.object(http.StatusCreated, stored)
	return nil
}

func (a *API) update(r *request) error {
	object, err := r.readObject()
	if err != nil {
		return err
	}
	if object.Meta().Name != r.Param("name") {
		return v1.FieldErrors{{Path: "metadata.name", Message: "must be the name in the path"}}
	}
	if object.Meta().ResourceVersion == "" {
		return v1.FieldErrors{{Path: "metadata.resourceVersion", Message: "is required on update"}}
	}
	change, err := a.planUpdate(r, object)
	if err != nil {
		return err
	}
	if r.options.dryRun {
		r.object(http.StatusOK, object)
		return nil
	}
	stored, err := a.backend.Update(r.Request.Context(), object)
	if err != nil {
		return a.failedWrite(r, change, err)
	}
	a.audit(r, change, stored.Meta().ResourceVersion)
	a.settleWrite(r.Request.Context(), r.kind, change.name, stored.Meta().ResourceVersion)
	r.object(http.StatusOK, stored)
	return nil
}

func (a *API) remove(r *request) error {
	var err error
	for range maxDeleteTries {
		err = a.tryRemove(r)
		if !isConflict(err) || r.options.resourceVersion != "" {
			break
		}
	}
	if err != nil {
		return err
	}
	r.JSON(http.StatusOK, success())
	return nil
}

// maxDeleteTries bounds the tries of a delete that states no version.
const maxDeleteTries = 5

// tryRemove deletes the version that its checks saw: a change in between is a conflict.
func (a *API) tryRemove(r *request) error {
	ctx := r.Request.Context()
	change, err := a.planDelete(r)
	if err != nil || r.options.dryRun {
		return err
	}
	if err := a.backend.Delete(ctx, r.kind, change.name, change.resourceVersion); err != nil {
		return a.failedWrite(r, change, err)
	}
	a.audit(r, change, change.resourceVersion)
	a.settleDelete(ctx, r.kind, change.name, change.resourceVersion)
	return nil
}

// readObject decodes, defaults and validates the body. What operators cannot write is dropped.
func (r *request) readObject() (v1.Object, error) {
	data, err := io.ReadAll(http.MaxBytesReader(r.Writer, r.Request.Body, maxResourceBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, v1.Errorf(v1.CodeTooLarge, "a resource has at most %d bytes", maxResourceBytes)
	}
	if err != nil {
		return nil, v1.Errorf(v1.CodeInvalid, "the body could not be read")
	}
	object, err := v1.DecodeStrict(data)
	if err != nil {
		return nil, err
	}
	if object.ObjectKind() != r.kind {
		return nil, &v1.DecodeError{Path: "kind", Message: "must be " + string(r.kind)}
	}
	v1.Default(object)
	if err := v1.Validate(object).Err(); err != nil {
		return nil, err
	}
	dropObserved(object)
	return object, nil
}

// dropObserved clears what only the system writes, so that a resource that was read can be written back.
func dropObserved(object v1.Object) {
	*object.ObjectStatus() = v1.Status{}
	meta := object.Meta()
	meta.Generation = 0
	meta.WriteID = ""
	meta.FormerZones = nil
	meta.CreationTimestamp = time.Time{}
}

// audit logs a change that the store has taken.
func (a *API) audit(r *request, change change, revision string) {
	level.Info(a.logger).Log("msg", "resource changed", "operator", r.operator.Name, "verb", change.verb, "kind", r.kind,
		"name", change.name, "revision", revision, "confirmed", r.options.confirm, "at", a.now().UTC().Format(time.RFC3339Nano))
}

// failedWrite logs a write whose fate is unknown: it may stand in the store without another audit line.
func (a *API) failedWrite(r *request, change change, err error) error {
	var typed *v1.Error
	if errors.As(err, &typed) && typed.Outcome == v1.OutcomeUnknown {
		level.Warn(a.logger).Log("msg", "resource change has unknown outcome", "operator", r.operator.Name,
			"verb", change.verb, "kind", r.kind, "name", change.name)
	}
	return err
}
