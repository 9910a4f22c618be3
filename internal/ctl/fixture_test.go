package ctl_test

import (
	"bytes"
	"context"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/commandline"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/ctl"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/resourceapi/backendtest"
	"github.com/covelink/covelink/internal/settings"
)

const token = "demo-operator-token"

// fixture is a resource API over a memory backend, with a folder for files.
type fixture struct {
	backend *backendtest.MemoryBackend
	server  *httptest.Server
	folder  string
	// intercept, if set, serves a request in place of the API; it returns false to let the API serve it.
	intercept func(http.ResponseWriter, *http.Request, http.Handler) bool
}

func newFixture(t *testing.T) *fixture {
	gin.SetMode(gin.ReleaseMode)
	f := &fixture{backend: backendtest.New(), folder: t.TempDir()}
	operators := []settings.Operator{{Name: "demo", TokenHash: v1.HashToken(token), Role: settings.RoleOperator}}
	api := resourceapi.New(resourceapi.Params{
		Backend:    f.backend,
		Identifier: auth.New(cluster.NewHolder(), operators),
		Logger:     log.NewNopLogger(),
	})
	router := gin.New()
	api.Routes(router)
	router.GET("/readyz", func(c *gin.Context) { c.String(http.StatusOK, "ok") })
	router.GET("/debug/explain/:id", func(c *gin.Context) {
		c.Data(http.StatusOK, "application/json", []byte(`{"id":"`+c.Param("id")+`","steps":[{"zone":"bne-stl","score":1.50},{"refused":true,"by":null}]}`))
	})
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.intercept == nil || !f.intercept(w, r, router) {
			router.ServeHTTP(w, r)
		}
	}))
	return f
}

// write stores a file and returns its path.
func (f *fixture) write(name, content string) string {
	path := filepath.Join(f.folder, name)
	So(os.WriteFile(path, []byte(content), 0o600), ShouldBeNil)
	return path
}

// result is what one command left.
type result struct {
	code     int
	out, err string
}

func (f *fixture) run(args ...string) result { return f.runWith(context.Background(), "", args...) }

func (f *fixture) runWith(ctx context.Context, stdin string, args ...string) result {
	return runPlain(ctx, stdin, append([]string{"--server", f.server.URL, "--token", token}, args...)...)
}

// runPlain runs a command with no other flags than the stated ones.
func runPlain(ctx context.Context, stdin string, args ...string) result {
	var out, errors bytes.Buffer
	streams := commandline.Streams{In: strings.NewReader(stdin), Out: &out, Err: &errors}
	code := ctl.Run(ctx, append([]string{"covelinkctl"}, args...), streams)
	return result{code: code, out: out.String(), err: errors.String()}
}

// revision returns the revision of the backend: it changes with every write.
func (f *fixture) revision() uint64 {
	_, revision, err := f.backend.List(context.Background(), v1.KindZone)
	So(err, ShouldBeNil)
	return revision
}

func zone(name string) string {
	return "apiVersion: covelink.io/v1\nkind: Zone\nmetadata:\n  name: " + name + "\nspec:\n  region: bne\n"
}

func pool(name, zones string) string {
	return "apiVersion: covelink.io/v1\nkind: Pool\nmetadata:\n  name: " + name + "\nspec:\n  model: m\n  permittedZones: [" + zones + "]\n"
}

// base is two zones and a pool in the first.
func base() string { return pool("p", "a") + "---\n" + zone("a") + "---\n" + zone("b") }
