package resourceapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/telemetry"
)

// BasePath is the path under which every resource stands.
const BasePath = "/apis/" + v1.APIVersion

// maxResourceBytes bounds the body of a write.
const maxResourceBytes = 1 << 20

// Params are what an API is built from.
type Params struct {
	Backend Backend
	// Identifier tells who holds the bearer token of a request.
	Identifier Identifier
	Logger     log.Logger
	// Now is the clock of the audit lines. Default time.Now.
	Now func() time.Time
}

// API serves resources by the conventions of the Kubernetes API. It holds no state of its own: every check reads
// the backend, and conflicts are decided by the backend's conditional writes.
type API struct {
	backend    Backend
	identifier Identifier
	logger     log.Logger
	now        func() time.Time
	// stopping ends when Stop is called.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns an API.
func New(params Params) *API {
	now := params.Now
	if now == nil {
		now = time.Now
	}
	stopping, stop := context.WithCancel(context.Background())
	return &API{
		backend:    params.Backend,
		identifier: params.Identifier,
		logger:     telemetry.For(params.Logger, telemetry.PartResourceAPI),
		now:        now,
		stopping:   stopping,
		stop:       stop,
	}
}

// Stop ends every watch, now and from now on, so that a server that waits for its requests can stop. Other requests
// are served as before.
func (a *API) Stop() { a.stop() }

// Routes adds the routes of every kind.
func (a *API) Routes(router gin.IRouter) {
	group := router.Group(BasePath, a.identify)
	for _, kind := range v1.Kinds {
		collection := "/" + kind.Plural()
		item := collection + "/:name"
		group.GET(collection, a.handle(kind, listParameters, a.list))
		group.POST(collection, a.handle(kind, writeParameters, a.create))
		group.GET(item, a.handle(kind, nil, a.get))
		group.PUT(item, a.handle(kind, writeParameters, a.update))
		group.DELETE(item, a.handle(kind, deleteParameters, a.remove))
	}
}

// request is one request for resources of a kind.
type request struct {
	*gin.Context
	kind     v1.Kind
	operator auth.Identity
	options  options
}

// handle adapts a handler: it checks the query and the role, and answers the handler's error with a Status.
func (a *API) handle(kind v1.Kind, allowed parameters, handler func(*request) error) gin.HandlerFunc {
	return func(c *gin.Context) {
		operator := c.MustGet(operatorKey).(auth.Identity)
		if !mayUse(operator, c.Request.Method) {
			a.fail(c, v1.Errorf(v1.CodeForbidden, "operator %s may only read", operator.Name))
			return
		}
		options, err := parseOptions(c.Request.URL.Query(), allowed)
		if err != nil {
			a.fail(c, err)
			return
		}
		if err := handler(&request{Context: c, kind: kind, operator: operator, options: options}); err != nil {
			a.fail(c, err)
		}
	}
}

// listBody is the answer to a list.
type listBody struct {
	APIVersion string      `json:"apiVersion"`
	Kind       string      `json:"kind"`
	Metadata   listMeta    `json:"metadata"`
	Items      []v1.Object `json:"items"`
}

type listMeta struct {
	ResourceVersion string `json:"resourceVersion"`
}

func (a *API) list(r *request) error {
	if r.options.watch {
		return a.watch(r)
	}
	objects, revision, err := a.backend.List(r.Request.Context(), r.kind)
	if err != nil {
		return err
	}
	body := listBody{
		APIVersion: v1.APIVersion,
		Kind:       string(r.kind) + "List",
		Metadata:   listMeta{ResourceVersion: formatRevision(revision)},
		Items:      make([]v1.Object, 0, len(objects)),
	}
	for _, object := range objects {
		v1.SetTypeMeta(object)
		body.Items = append(body.Items, object)
	}
	r.JSON(http.StatusOK, body)
	return nil
}

func (a *API) get(r *request) error {
	object, err := a.backend.Get(r.Request.Context(), r.kind, r.Param("name"))
	if err != nil {
		return err
	}
	r.object(http.StatusOK, object)
	return nil
}

func (r *request) object(status int, object v1.Object) {
	v1.SetTypeMeta(object)
	r.JSON(status, object)
}
