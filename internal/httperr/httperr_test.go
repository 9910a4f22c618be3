package httperr_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/internal/httperr"
)

func write(err error) *httptest.ResponseRecorder {
	gin.SetMode(gin.TestMode)
	recorder := httptest.NewRecorder()
	c, _ := gin.CreateTestContext(recorder)
	c.Request = httptest.NewRequest(http.MethodGet, "/", nil)
	httperr.Write(c, err)
	return recorder
}

func TestWrite(t *testing.T) {
	Convey("Retry-After is in whole seconds, rounded up, at least one", t, func() {
		for wait, want := range map[time.Duration]string{
			time.Millisecond: "1", time.Second: "1", 1001 * time.Millisecond: "2", time.Minute: "60", 0: "1",
		} {
			So(write(v1.NotRun(v1.CodeOverloaded, wait, "full")).Header().Get("Retry-After"), ShouldEqual, want)
		}
		So(write(v1.NotRun(v1.CodeInvalid, 0, "bad")).Header().Get("Retry-After"), ShouldBeBlank)
	})
	Convey("The body is OpenAI's error object with the outcome", t, func() {
		err := v1.NotRun(v1.CodeInvalid, 0, "bad")
		err.Field = "spec.x"
		recorder := write(fmt.Errorf("wrapped: %w", err))
		So(recorder.Code, ShouldEqual, http.StatusBadRequest)
		So(recorder.Body.String(), ShouldEqual,
			`{"error":{"message":"bad","type":"invalid_request_error","code":"invalid","param":"spec.x","outcome":"not_run"}}`)
	})
	Convey("An untyped error says nothing of its cause", t, func() {
		recorder := write(errors.New("secret"))
		So(recorder.Code, ShouldEqual, http.StatusInternalServerError)
		So(recorder.Body.String(), ShouldNotContainSubstring, "secret")
		So(json.Valid(recorder.Body.Bytes()), ShouldBeTrue)
	})
}
