package resourceapi_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"github.com/covelink/covelink/internal/auth"
	"github.com/covelink/covelink/internal/cluster"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/resourceapi"
	"github.com/covelink/covelink/internal/resourceapi/backendtest"
	"github.com/covelink/covelink/internal/settings"
)

const (
	operatorToken    = "operator-token"
	readerToken      = "reader-token"
	trainerToken     = "trainer-token"
	applicationToken = "application-token"
	// waitLimit bounds waits for what happens soon.
	waitLimit = 30 * time.Second
)

// fixture is an API over a memory backend with zones a and b, pool p in zone a, trainer t and application x.
type fixture struct {
	backend *backendtest.MemoryBackend
	server  *httptest.Server
	client  *http.Client
	log     *bytes.Buffer
}

func newFixture() *fixture {
	gin.SetMode(gin.ReleaseMode)
	f := &fixture{backend: backendtest.New(), log: &bytes.Buffer{}, client: &http.Client{Transport: &http.Transport{}}}
	operators := []settings.Operator{
		{Name: "olga", TokenHash: strings.ToUpper(v1.HashToken(operatorToken)), Role: settings.RoleOperator},
		{Name: "rae", TokenHash: v1.HashToken(readerToken), Role: settings.RoleReadOnly},
	}
	api := resourceapi.New(resourceapi.Params{
		Backend:    f.backend,
		Identifier: auth.New(callers(), operators),
		Logger:     log.NewLogfmtLogger(log.NewSyncWriter(f.log)),
		Now:        func() time.Time { return time.Unix(1, 0) },
	})
	router := gin.New()
	api.Routes(router)
	f.server = httptest.NewServer(router)
	f.create("zones", zoneBody("a", ""))
	f.create("zones", zoneBody("b", ""))
	f.create("pools", poolBody("p", "", `"a"`))
	f.create("trainers", `{"apiVersion":"covelink.io/v1","kind":"Trainer","metadata":{"name":"t"},"spec":{"pool":"p","stalenessBound":2,"tokenHashes":["`+v1.HashToken("t")+`"]}}`)
	f.create("applications", `{"apiVersion":"covelink.io/v1","kind":"Application","metadata":{"name":"x"},"spec":{"pools":["p"],"tokenHashes":["`+v1.HashToken("x")+`"]}}`)
	return f
}

// callers returns a view with a trainer and an application, whose tokens are no operators'.
func callers() cluster.Source {
	holder := cluster.NewHolder()
	holder.Update(func(*cluster.View) *cluster.View {
		return &cluster.View{
			Trainers:     map[string]*v1.Trainer{"t": {Spec: v1.TrainerSpec{TokenHashes: []string{v1.HashToken(trainerToken)}}}},
			Applications: map[string]*v1.Application{"x": {Spec: v1.ApplicationSpec{TokenHashes: []string{v1.HashToken(applicationToken)}}}},
		}
	})
	return holder
}

func (f *fixture) close() {
	f.client.CloseIdleConnections()
	f.server.Close()
}

func zoneBody(name, extra string) string {
	return `{"apiVersion":"covelink.io/v1","kind":"Zone","metadata":{"name":"` + name + `"` + extra + `},"spec":{"region":"bne"}}`
}

func poolBody(name, extra, zones string) string {
	return `{"apiVersion":"covelink.io/v1","kind":"Pool","metadata":{"name":"` + name + `"` + extra + `},"spec":{"model":"m","permittedZones":[` + zones + `]}}`
}

func version(resourceVersion string) string { return `,"resourceVersion":"` + resourceVersion + `"` }

func (f *fixture) create(collection, body string) {
	code, answer := f.do(http.MethodPost, collection, operatorToken, body)
	So(answer["message"], ShouldBeNil)
	So(code, ShouldEqual, http.StatusCreated)
}

// do returns the status code and the decoded answer.
func (f *fixture) do(method, path, token, body string) (int, map[string]any) {
	request, err := http.NewRequest(method, f.server.URL+resourceapi.BasePath+"/"+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := f.client.Do(request)
	So(err, ShouldBeNil)
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	So(json.NewDecoder(response.Body).Decode(&answer), ShouldBeNil)
	return response.StatusCode, answer
}

// version returns the resourceVersion of a resource, or "" if there is none.
func (f *fixture) version(kind v1.Kind, name string) string {
	object, err := f.backend.Get(context.Background(), kind, name)
	if err != nil {
		return ""
	}
	return object.Meta().ResourceVersion
}

func TestReading(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Resources are listed and got with their revision", t, func() {
		f := newFixture()
		defer f.close()
		code, list := f.do(http.MethodGet, "zones", readerToken, "")
		So(code, ShouldEqual, 200)
		So(list["kind"], ShouldEqual, "ZoneList")
		So(list["metadata"].(map[string]any)["resourceVersion"], ShouldEqual, "5")
		So(list["items"], ShouldHaveLength, 2)
		code, pool := f.do(http.MethodGet, "pools/p", readerToken, "")
		So(code, ShouldEqual, 200)
		So(pool["apiVersion"], ShouldEqual, v1.APIVersion)
		So(pool["spec"].(map[string]any)["maxTokens"], ShouldEqual, v1.DefaultMaxTokens)
		code, missing := f.do(http.MethodGet, "pools/q", readerToken, "")
		So(code, ShouldEqual, 404)
		So(missing["kind"], ShouldEqual, "Status")
		So(missing["status"], ShouldEqual, "Failure")
		So(missing["reason"], ShouldEqual, "NotFound")
		So(missing["code"], ShouldEqual, 404)
	})
}

func TestAccess(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Only operators may write, and nobody without a token may read", t, func() {
		f := newFixture()
		defer f.close()
		for _, token := range []string{"", "wrong", v1.HashToken(operatorToken)} {
			code, answer := f.do(http.MethodGet, "zones", token, "")
			So(code, ShouldEqual, 401)
			So(answer["reason"], ShouldEqual, "Unauthorized")
		}
		for _, token := range []string{trainerToken, applicationToken} {
			for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
				code, answer := f.do(method, "zones/b", token, zoneBody("b", version("2")))
				So(code, ShouldEqual, 403)
				So(answer["reason"], ShouldEqual, "Forbidden")
				So(answer, ShouldNotContainKey, "spec")
			}
		}
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
			path := "zones/b"
			if method == http.MethodPost {
				path = "zones"
			}
			code, answer := f.do(method, path, readerToken, zoneBody("b", version("2")))
			So(code, ShouldEqual, 403)
			So(answer["reason"], ShouldEqual, "Forbidden")
		}
		So(f.version(v1.KindZone, "b"), ShouldEqual, "2")
	})
}

func TestRefusals(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Each bad write is refused with its field, and changes nothing", t, func() {
		f := newFixture()
		defer f.close()
		for _, test := range []struct {
			method, path, body string
			code               int
			reason, field      string
		}{
			{"POST", "zones", "{", 400, "BadRequest", ""},
			{"POST", "zones", strings.Replace(zoneBody("c", ""), "region", "regoin", 1), 400, "BadRequest", "spec.regoin"},
			{"POST", "zones", poolBody("c", "", `"a"`), 400, "BadRequest", "kind"},
			{"POST", "zones", zoneBody("C", ""), 422, "Invalid", "metadata.name"},
			{"POST", "zones", zoneBody("c", version("1")), 422, "Invalid", "metadata.resourceVersion"},
			{"POST", "zones", zoneBody("a", ""), 409, "Conflict", ""},
			{"POST", "zones", zoneBody("c", "") + strings.Repeat(" ", 1<<20), 413, "RequestEntityTooLarge", ""},
			{"POST", "pools", poolBody("q", "", ""), 422, "Invalid", "spec.permittedZones"},
			{"POST", "pools", poolBody("q", "", `"a","c"`), 422, "Invalid", "spec.permittedZones[1]"},
			{"PUT", "pools/p", poolBody("p", version("3"), `"c"`), 422, "Invalid", "spec.permittedZones[0]"},
			{"PUT", "zones/b", zoneBody("a", version("2")), 422, "Invalid", "metadata.name"},
			{"PUT", "zones/b", zoneBody("b", ""), 422, "Invalid", "metadata.resourceVersion"},
			{"PUT", "zones/b", zoneBody("b", version("1")), 409, "Conflict", ""},
			{"PUT", "zones/c", zoneBody("c", version("1")), 404, "NotFound", ""},
			{"DELETE", "zones/c", "", 404, "NotFound", ""},
			{"DELETE", "zones/b?resourceVersion=1", "", 409, "Conflict", ""},
			{"DELETE", "zones/b?dryrun=All", "", 400, "BadRequest", "dryrun"},
			{"DELETE", "zones/b?dryRun=true", "", 400, "BadRequest", "dryRun"},
			{"DELETE", "zones/b?confirm=maybe", "", 400, "BadRequest", "confirm"},
			{"GET", "zones?watch=true&resourceVersion=x", "", 400, "BadRequest", "resourceVersion"},
			{"GET", "zones?watch=true&timeoutSeconds=0", "", 400, "BadRequest", "timeoutSeconds"},
		} {
			code, answer := f.do(test.method, test.path, operatorToken, test.body)
			So(code, ShouldEqual, test.code)
			So(answer["reason"], ShouldEqual, test.reason)
			field := ""
			if details, found := answer["details"].(map[string]any); found {
				field, _ = details["field"].(string)
			}
			So(field, ShouldEqual, test.field)
		}
		_, list := f.do(http.MethodGet, "zones", operatorToken, "")
		So(list["metadata"].(map[string]any)["resourceVersion"], ShouldEqual, "5")
	})
}

func TestWriting(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given resources", t, func() {
		f := newFixture()
		defer f.close()

		Convey("an update is stored and logged without the token; the status is not writable", func() {
			body := strings.TrimSuffix(zoneBody("b", version("2")+`,"generation":9`), "}") + `,"status":{"nodes":7}}`
			code, zone := f.do(http.MethodPut, "zones/b", operatorToken, body)
			So(code, ShouldEqual, 200)
			So(zone["metadata"].(map[string]any)["resourceVersion"], ShouldEqual, "6")
			So(zone["metadata"].(map[string]any)["generation"], ShouldEqual, 2)
			So(zone["status"], ShouldBeNil)
			So(f.log.String(), ShouldContainSubstring, "operator=olga verb=update kind=Zone name=b revision=6")
			So(f.log.String(), ShouldNotContainSubstring, operatorToken)
		})

		Convey("a dry run checks and answers but stores and logs nothing", func() {
			before := f.log.Len()
			code, _ := f.do(http.MethodPost, "zones?dryRun=All", operatorToken, zoneBody("c", ""))
			So(code, ShouldEqual, 201)
			code, _ = f.do(http.MethodPut, "zones/b?dryRun=All", operatorToken, zoneBody("b", version("2")))
			So(code, ShouldEqual, 200)
			code, _ = f.do(http.MethodPut, "zones/b?dryRun=All", operatorToken, zoneBody("b", version("1")))
			So(code, ShouldEqual, 409)
			code, _ = f.do(http.MethodDelete, "zones/b?dryRun=All", operatorToken, "")
			So(code, ShouldEqual, 200)
			So(f.version(v1.KindZone, "b"), ShouldEqual, "2")
			So(f.version(v1.KindZone, "c"), ShouldEqual, "")
			So(f.log.Len(), ShouldEqual, before)
		})

		Convey("of operators who update one version at once, one wins and the others get a conflict", func() {
			const writers = 8
			codes := make([]int, writers)
			var group sync.WaitGroup
			for index := range writers {
				group.Go(func() {
					request, _ := http.NewRequest(http.MethodPut, f.server.URL+resourceapi.BasePath+"/zones/b", strings.NewReader(zoneBody("b", version("2"))))
					request.Header.Set("Authorization", "Bearer "+operatorToken)
					if response, err := f.client.Do(request); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						codes[index] = response.StatusCode
					}
				})
			}
			group.Wait()
			count := map[int]int{}
			for _, code := range codes {
				count[code]++
			}
			So(count, ShouldResemble, map[int]int{200: 1, 409: writers - 1})
			So(f.version(v1.KindZone, "b"), ShouldEqual, "6")
		})

		Convey("a write whose fate is unknown says so and is logged", func() {
			f.backend.FailWith(func(call string) error {
				if call != "update" {
					return nil
				}
				return &v1.Error{Code: v1.CodeUnavailable, Message: "store did not answer", Outcome: v1.OutcomeUnknown, RetryAfter: 1500 * time.Millisecond}
			})
			code, answer := f.do(http.MethodPut, "zones/b", operatorToken, zoneBody("b", version("2")))
			So(code, ShouldEqual, 503)
			So(answer["details"].(map[string]any)["outcome"], ShouldEqual, "unknown")
			So(answer["details"].(map[string]any)["retryAfterSeconds"], ShouldEqual, 2)
			So(f.log.String(), ShouldContainSubstring, "unknown outcome")
		})
	})
}

func TestConfirm(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A change that takes a zone or a pool away needs confirmation", t, func() {
		cordoned := strings.Replace(zoneBody("a", version("1")), `"region"`, `"cordoned":true,"region"`, 1)
		for _, test := range []struct{ method, path, body, message string }{
			{"DELETE", "zones/a", "", `pool "p" permits zone "a"; pool "p" would be left without a zone that takes work; repeat with confirm=true to change it all the same`},
			{"DELETE", "pools/p", "", `application "x" uses pool "p"; trainer "t" uses pool "p"; repeat with confirm=true to change it all the same`},
			{"PUT", "zones/a", cordoned, `pool "p" would be left without a zone that takes work; repeat with confirm=true to change it all the same`},
		} {
			f := newFixture()
			for _, query := range []string{"", "?confirm=false", "?dryRun=All"} {
				code, answer := f.do(test.method, test.path+query, operatorToken, test.body)
				So(code, ShouldEqual, 409)
				So(answer["reason"], ShouldEqual, "ConfirmationRequired")
				So(answer["message"], ShouldEqual, test.message)
			}
			code, _ := f.do(test.method, test.path+"?confirm=true", operatorToken, test.body)
			So(code, ShouldEqual, 200)
			So(f.log.String(), ShouldContainSubstring, "confirmed=true")
			f.close()
		}
	})

	Convey("Moving a pool into a cordoned zone only needs confirmation, deleting what nobody uses does not", t, func() {
		f := newFixture()
		defer f.close()
		cordoned := strings.Replace(zoneBody("b", version("2")), `"region"`, `"cordoned":true,"region"`, 1)
		code, _ := f.do(http.MethodPut, "zones/b", operatorToken, cordoned)
		So(code, ShouldEqual, 200)
		code, answer := f.do(http.MethodPut, "pools/p", operatorToken, poolBody("p", version("3"), `"b"`))
		So(code, ShouldEqual, 409)
		So(answer["reason"], ShouldEqual, "ConfirmationRequired")
		code, _ = f.do(http.MethodPut, "pools/p", operatorToken, poolBody("p", version("3"), `"a","b"`))
		So(code, ShouldEqual, 200)
		for _, path := range []string{"trainers/t", "applications/x", "pools/p", "zones/a", "zones/b"} {
			code, _ = f.do(http.MethodDelete, path, operatorToken, "")
			So(code, ShouldEqual, 200)
		}
	})
}

func TestWatch(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given a watch", t, func() {
		f := newFixture()
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		open := func(query string) (*http.Response, *bufio.Scanner) {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+resourceapi.BasePath+"/zones?watch=true"+query, nil)
			So(err, ShouldBeNil)
			request.Header.Set("Authorization", "Bearer "+readerToken)
			response, err := f.client.Do(request)
			So(err, ShouldBeNil)
			return response, bufio.NewScanner(response.Body)
		}
		next := func(lines *bufio.Scanner) string {
			So(lines.Scan(), ShouldBeTrue)
			var line struct {
				Type   string
				Object v1.Zone
			}
			So(json.Unmarshal(lines.Bytes(), &line), ShouldBeNil)
			return line.Type + " " + line.Object.Metadata.Name + " " + line.Object.Metadata.ResourceVersion
		}

		Convey("from a revision it sends each later change of its kind", func() {
			response, lines := open("&resourceVersion=1")
			defer func() { _ = response.Body.Close() }()
			So(next(lines), ShouldEqual, "ADDED b 2")
			code, _ := f.do(http.MethodPut, "zones/b", operatorToken, zoneBody("b", version("2")))
			So(code, ShouldEqual, 200)
			So(next(lines), ShouldEqual, "MODIFIED b 6")
			code, _ = f.do(http.MethodDelete, "zones/b", operatorToken, "")
			So(code, ShouldEqual, 200)
			So(next(lines), ShouldEqual, "DELETED b 7")
		})

		Convey("without a revision it starts with what is there, and ends at its timeout", func() {
			response, lines := open("&timeoutSeconds=1")
			defer func() { _ = response.Body.Close() }()
			So(next(lines), ShouldEqual, "ADDED a 1")
			So(next(lines), ShouldEqual, "ADDED b 2")
			So(lines.Scan(), ShouldBeFalse)
			So(lines.Err(), ShouldBeNil)
		})

		Convey("from a revision that is no longer kept it is refused as gone", func() {
			f.backend.Compact()
			code, answer := f.do(http.MethodGet, "zones?watch=true&resourceVersion=1", readerToken, "")
			So(code, ShouldEqual, 410)
			So(answer["reason"], ShouldEqual, "Expired")
		})
	})
}
