package resourceapi_test

import (
	"context"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/resourceapi/backendtest"
	"github.com/covelink/covelink/internal/settings"
)

// laggingBackend writes to one backend at once and shows each write to reads only after some more reads.
type laggingBackend struct {
	*backendtest.MemoryBackend
	mu    sync.Mutex
	reads int
	// shown holds the lists that reads see; it is renewed every lag reads.
	shown map[v1.Kind][]v1.Object
}

const lag = 7

func (l *laggingBackend) List(ctx context.Context, kind v1.Kind) ([]v1.Object, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reads%lag == 0 {
		l.shown = make(map[v1.Kind][]v1.Object)
		for _, each := range v1.Kinds {
			l.shown[each], _, _ = l.MemoryBackend.List(ctx, each)
		}
	}
	l.reads++
	return l.shown[kind], 0, nil
}

func (l *laggingBackend) Get(ctx context.Context, kind v1.Kind, name string) (v1.Object, error) {
	objects, _, _ := l.List(ctx, kind)
	for _, object := range objects {
		if object.Meta().Name == name {
			return object, nil
		}
	}
	return nil, v1.Errorf(v1.CodeNotFound, "not found")
}

// newRouter serves an API over a backend, without a server.
func newRouter(backend resourceapi.Backend) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	operators := []settings.Operator{{Name: "olga", TokenHash: v1.HashToken(operatorToken), Role: settings.RoleOperator}}
	router := gin.New()
	resourceapi.New(resourceapi.Params{
		Backend:    backend,
		Identifier: auth.New(cluster.NewHolder(), operators),
		Logger:     log.NewNopLogger(),
	}).Routes(router)
	return router
}

func serve(router http.Handler, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, resourceapi.BasePath+"/"+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, request)
	return recorder
}

func TestReadsBehindWrites(t *testing.T) {
	Convey("Over reads that follow writes later, each write is judged by the writes before it", t, func() {
		backend := &laggingBackend{MemoryBackend: backendtest.New()}
		router := newRouter(backend)
		So(serve(router, http.MethodPost, "zones", zoneBody("a", "")).Code, ShouldEqual, 201)
		So(serve(router, http.MethodPost, "zones", zoneBody("b", "")).Code, ShouldEqual, 201)
		So(serve(router, http.MethodPost, "pools", poolBody("p", "", `"a"`)).Code, ShouldEqual, 201)
		So(serve(router, http.MethodPut, "pools/p", poolBody("p", version("3"), `"b"`)).Code, ShouldEqual, 200)
		So(serve(router, http.MethodDelete, "zones/a", "").Code, ShouldEqual, 200)
		So(serve(router, http.MethodDelete, "zones/b", "").Code, ShouldEqual, 409)
		So(serve(router, http.MethodDelete, "pools/p", "").Code, ShouldEqual, 200)
		So(serve(router, http.MethodDelete, "zones/b", "").Code, ShouldEqual, 200)

		Convey("also when another node took the write before", func() {
			zone := &v1.Zone{Metadata: v1.ObjectMeta{Name: "c"}, Spec: v1.ZoneSpec{Region: "bne"}}
			v1.Default(zone)
			stored, err := backend.Create(t.Context(), zone)
			So(err, ShouldBeNil)
			body := zoneBody("c", version(stored.Meta().ResourceVersion))
			So(serve(router, http.MethodPut, "zones/c", body).Code, ShouldEqual, 200)
		})
	})
}

func TestDeleteConflict(t *testing.T) {
	Convey("A delete without a version is tried again after a conflict, one with a version is not", t, func() {
		backend := backendtest.New()
		router := newRouter(backend)
		So(serve(router, http.MethodPost, "zones", zoneBody("a", "")).Code, ShouldEqual, 201)
		deletes := 0
		backend.FailWith(func(call string) error {
			if call != "delete" {
				return nil
			}
			if deletes++; deletes <= 2 {
				return v1.Errorf(v1.CodeConflict, "has changed")
			}
			return nil
		})
		So(serve(router, http.MethodDelete, "zones/a?resourceVersion=1", "").Code, ShouldEqual, 409)
		So(deletes, ShouldEqual, 1)
		So(serve(router, http.MethodDelete, "zones/a", "").Code, ShouldEqual, 200)
		So(deletes, ShouldEqual, 3)
	})
}

func TestStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Stop ends open watches, so that a server can shut down", t, func() {
		gin.SetMode(gin.ReleaseMode)
		api := resourceapi.New(resourceapi.Params{
			Backend:    backendtest.New(),
			Identifier: auth.New(cluster.NewHolder(), []settings.Operator{{Name: "o", TokenHash: v1.HashToken(operatorToken), Role: settings.RoleOperator}}),
			Logger:     log.NewNopLogger(),
		})
		router := gin.New()
		api.Routes(router)
		server := httptest.NewServer(router)
		defer server.Close()
		client := &http.Client{Transport: &http.Transport{}, Timeout: waitLimit}
		defer client.CloseIdleConnections()
		request, err := http.NewRequest(http.MethodGet, server.URL+resourceapi.BasePath+"/zones?watch=true", nil)
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := client.Do(request)
		So(err, ShouldBeNil)
		defer func() { _ = response.Body.Close() }()
		api.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
		defer cancel()
		So(server.Config.Shutdown(ctx), ShouldBeNil)
	})
}

// TestReferencesHold makes random unconfirmed writes: none may leave a reference without its target, or take the
// last zone that takes work from a pool.
func TestReferencesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backend := backendtest.New()
		router := newRouter(backend)
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			kind := rapid.SampledFrom(v1.Kinds).Draw(t, "kind")
			name := names.Draw(t, "name")
			before := usablePools(t, backend)
			randomWrite(t, router, backend, kind, name, names)
			checkReferences(t, backend)
			after := usablePools(t, backend)
			for pool := range before {
				if usable, exists := after[pool]; exists && before[pool] && !usable {
					t.Fatalf("pool %s was left without a zone", pool)
				}
			}
		}
	})
}

func randomWrite(t *rapid.T, router http.Handler, backend resourceapi.Backend, kind v1.Kind, name string, names *rapid.Generator[string]) {
	path := kind.Plural() + "/" + name
	if rapid.Bool().Draw(t, "delete") {
		serve(router, http.MethodDelete, path, "")
		return
	}
	hash := `"tokenHashes":["` + v1.HashToken("t") + `"]`
	first, second := names.Draw(t, "first"), names.Draw(t, "second")
	specs := map[v1.Kind]string{
		v1.KindZone:        `"region":"bne","cordoned":` + rapid.SampledFrom([]string{"true", "false"}).Draw(t, "cordoned"),
		v1.KindPool:        `"model":"m","permittedZones":["` + first + `","` + second + `"]`,
		v1.KindTrainer:     `"pool":"` + first + `","stalenessBound":1,` + hash,
		v1.KindApplication: `"pools":["` + first + `","` + second + `"],` + hash,
	}
	if first == second {
		specs[v1.KindPool] = `"model":"m","permittedZones":["` + first + `"]`
		specs[v1.KindApplication] = `"pools":["` + first + `"],` + hash
	}
	current, err := backend.Get(context.Background(), kind, name)
	method, stated := http.MethodPost, ""
	if err == nil {
		method, stated = http.MethodPut, version(current.Meta().ResourceVersion)
	} else {
		path = kind.Plural()
	}
	body := `{"apiVersion":"covelink.io/v1","kind":"` + string(kind) + `","metadata":{"name":"` + name + `"` + stated + `},"spec":{` + specs[kind] + `}}`
	code := serve(router, method, path, body).Code
	if code == http.StatusBadRequest || code >= http.StatusInternalServerError {
		t.Fatalf("%s %s answered %d", method, body, code)
	}
}

func checkReferences(t *rapid.T, backend resourceapi.Backend) {
	for _, kind := range v1.Kinds {
		objects, _, _ := backend.List(context.Background(), kind)
		for _, object := range objects {
			for _, reference := range v1.References(object) {
				if _, err := backend.Get(context.Background(), reference.Kind, reference.Name); err != nil {
					t.Fatalf("%s %s: %s is left without its target", kind, object.Meta().Name, reference.Path)
				}
			}
		}
	}
}

// usablePools tells for each pool whether a permitted zone takes work.
func usablePools(t *rapid.T, backend resourceapi.Backend) map[string]bool {
	usable := make(map[string]bool)
	pools, _, err := backend.List(context.Background(), v1.KindPool)
	if err != nil {
		t.Fatal(err)
	}
	for _, object := range pools {
		pool := object.(*v1.Pool)
		usable[pool.Metadata.Name] = false
		for _, name := range pool.Spec.PermittedZones {
			zone, err := backend.Get(context.Background(), v1.KindZone, name)
			if err == nil && !zone.(*v1.Zone).Spec.Cordoned {
				usable[pool.Metadata.Name] = true
			}
		}
	}
	return usable
}

// staleBackend shows no write to reads.
type staleBackend struct{ *backendtest.MemoryBackend }

func (s *staleBackend) List(context.Context, v1.Kind) ([]v1.Object, uint64, error) {
	return nil, 0, nil
}

func (s *staleBackend) Get(context.Context, v1.Kind, string) (v1.Object, error) {
	return nil, v1.Errorf(v1.CodeNotFound, "not found")
}

// Guards against a resource that is refused because the node has not yet seen what it refers to.
func TestReferenceThatReadsDoNotShowYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A resource may refer to one that the store holds, although reads do not show it; not to one that is nowhere", t, func() {
			router := newRouter(&staleBackend{MemoryBackend: backendtest.New()})
			So(serve(router, http.MethodPost, "zones", zoneBody("a", "")).Code, ShouldEqual, 201)
			So(serve(router, http.MethodPost, "pools", poolBody("p", "", `"a"`)).Code, ShouldEqual, 201)
			refused := serve(router, http.MethodPost, "pools", poolBody("q", "", `"nowhere"`))
			So(refused.Code, ShouldEqual, 422)
			So(refused.Body.String(), ShouldContainSubstring, "does not exist")
		})
	})
}
