package auth_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"github.com/covelink/covelink/internal/settings"
)

func viewOf(trainers ...string) *cluster.View {
	view := &cluster.View{Trainers: make(map[string]*v1.Trainer)}
	for _, name := range trainers {
		view.Trainers[name] = &v1.Trainer{Spec: v1.TrainerSpec{TokenHashes: []string{v1.HashToken(name)}}}
	}
	return view
}

func set(holder *cluster.Holder, view *cluster.View) {
	holder.Update(func(*cluster.View) *cluster.View { return view })
}

func TestAuthenticator(t *testing.T) {
	gin.SetMode(gin.TestMode)
	Convey("An authenticator", t, func() {
		holder := cluster.NewHolder()
		set(holder, viewOf("a", "b"))
		operators := []settings.Operator{
			{Name: "root", TokenHash: v1.HashToken("operator"), Role: settings.RoleOperator},
			{Name: "eye", TokenHash: v1.HashToken("reader"), Role: settings.RoleReadOnly},
		}
		authenticator := auth.New(holder, operators)

		Convey("identifies by the view in force", func() {
			So(authenticator.Identify("a"), ShouldResemble, auth.Identities{{Kind: auth.KindTrainer, Name: "a"}})
			So(authenticator.Identify(""), ShouldBeEmpty)
			So(authenticator.Identify(v1.HashToken("a")), ShouldBeEmpty)
			set(holder, viewOf("b", "c"))
			So(authenticator.Identify("a"), ShouldBeEmpty)
			So(authenticator.Identify("c"), ShouldNotBeEmpty)
		})
		Convey("calls no token unknown before it holds a configuration", func() {
			router := gin.New()
			router.GET("/", authenticator.Authenticate(), func(c *gin.Context) { c.Status(http.StatusNoContent) })
			status := func(authorization string) int {
				request := httptest.NewRequest(http.MethodGet, "/", nil)
				request.Header.Set("Authorization", authorization)
				recorder := httptest.NewRecorder()
				router.ServeHTTP(recorder, request)
				return recorder.Code
			}
			So(status("Bearer c"), ShouldEqual, http.StatusUnauthorized)
			set(holder, &cluster.View{})
			So(status("Bearer c"), ShouldEqual, http.StatusServiceUnavailable)
			So(status("Bearer operator"), ShouldEqual, http.StatusNoContent)
			So(status(""), ShouldEqual, http.StatusUnauthorized)
			set(holder, &cluster.View{Serving: true})
			So(status("Bearer c"), ShouldEqual, http.StatusUnauthorized)
		})
		Convey("guards routes by role", func() {
			router := gin.New()
			router.Use(authenticator.Authenticate())
			pass := func(c *gin.Context) { c.Status(http.StatusNoContent) }
			router.GET("/trainers/:trainer", auth.RequireTrainer("trainer"), pass)
			router.GET("/application", auth.RequireApplication(), pass)
			router.GET("/read", auth.RequireOperatorRead(), pass)
			router.GET("/write", auth.RequireOperator(), pass)
			status := func(path, authorization string) int {
				request := httptest.NewRequest(http.MethodGet, path, nil)
				request.Header.Set("Authorization", authorization)
				recorder := httptest.NewRecorder()
				router.ServeHTTP(recorder, request)
				return recorder.Code
			}
			So(status("/trainers/a", "Bearer a"), ShouldEqual, http.StatusNoContent)
			So(status("/trainers/a", "bearer a"), ShouldEqual, http.StatusNoContent)
			So(status("/trainers/a", "Basic a"), ShouldEqual, http.StatusUnauthorized)
			So(status("/trainers/a", ""), ShouldEqual, http.StatusUnauthorized)
			So(status("/trainers/a", "Bearer b"), ShouldEqual, http.StatusForbidden)
			So(status("/application", "Bearer a"), ShouldEqual, http.StatusForbidden)
			So(status("/read", "Bearer reader"), ShouldEqual, http.StatusNoContent)
			So(status("/read", "Bearer operator"), ShouldEqual, http.StatusNoContent)
			So(status("/write", "Bearer operator"), ShouldEqual, http.StatusNoContent)
			So(status("/write", "Bearer reader"), ShouldEqual, http.StatusForbidden)
		})
	})
}

func BenchmarkIdentify(b *testing.B) {
	for _, callers := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			names := make([]string, callers)
			for index := range names {
				names[index] = fmt.Sprintf("caller-%d", index)
			}
			holder := cluster.NewHolder()
			set(holder, viewOf(names...))
			authenticator := auth.New(holder, nil)
			for b.Loop() {
				if len(authenticator.Identify("caller-7")) != 1 {
					b.Fatal("not identified")
				}
			}
		})
	}
}
