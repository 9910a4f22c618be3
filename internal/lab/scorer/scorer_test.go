package scorer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/api/scorerv1"
	"github.com/covelink/covelink/internal/lab/scorer"
)

func TestScorer(t *testing.T) {
	Convey("With a scorer", t, func() {
		service, err := scorer.New(scorer.DefaultConfig(), log.NewNopLogger())
		So(err, ShouldBeNil)
		So(service.Start(), ShouldBeNil)
		Reset(func() { _ = service.Stop(context.Background()) })
		score := func(request scorerv1.ScoreRequest) (int, float64) {
			body, err := json.Marshal(request)
			So(err, ShouldBeNil)
			response, err := http.Post(service.URL()+scorerv1.PathScore, "application/json", bytes.NewReader(body))
			So(err, ShouldBeNil)
			defer response.Body.Close()
			var answer scorerv1.ScoreResponse
			if response.StatusCode == http.StatusOK {
				So(json.NewDecoder(response.Body).Decode(&answer), ShouldBeNil)
			}
			return response.StatusCode, answer.Score
		}
		Convey("The score depends on the text alone, and calls are counted by request", func() {
			_, first := score(scorerv1.ScoreRequest{RequestID: "a", Text: "text"})
			_, second := score(scorerv1.ScoreRequest{RequestID: "b", Text: "text"})
			_, other := score(scorerv1.ScoreRequest{RequestID: "b", Text: "other"})
			So(first, ShouldEqual, scorer.Score("text"))
			So(second, ShouldEqual, first)
			So(other, ShouldNotEqual, first)
			So(service.Calls(), ShouldResemble, map[string]scorer.Calls{
				"a": {Received: 1, Scored: 1}, "b": {Received: 2, Scored: 2},
			})
		})
		Convey("Errors and delays show, and a failed call is not counted as scored", func() {
			service.Inject(scorer.Faults{Errors: 1, DelayMillis: 50})
			begun := time.Now()
			status, _ := score(scorerv1.ScoreRequest{RequestID: "a", Text: "text"})
			So(status, ShouldEqual, http.StatusInternalServerError)
			So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, 50*time.Millisecond)
			status, _ = score(scorerv1.ScoreRequest{RequestID: "a", Text: "text"})
			So(status, ShouldEqual, http.StatusOK)
			So(service.Calls()["a"], ShouldResemble, scorer.Calls{Received: 2, Scored: 1})
			status, _ = score(scorerv1.ScoreRequest{Text: "text"})
			So(status, ShouldEqual, http.StatusBadRequest)
		})
	})
}
