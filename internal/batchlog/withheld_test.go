package batchlog_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/batch"
	"github.com/covelink/covelink/internal/batchlog"
	"github.com/covelink/covelink/internal/metastore/metastoretest"
)

func TestWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Of a job that is withheld only the head is read, and nothing is written", t, func() {
			store := metastoretest.New()
			first := batchlog.New(store.Client(), 1)
			for _, id := range []string{"open", "kept"} {
				job := newJob(id, largeBody)
				if id == "kept" {
					job.Regions, job.RewardRegions = [][]string{{"north"}, {"north", "south"}}, [][]string{{"north"}}
				}
				_, err := first.Accept(t.Context(), job)
				So(err, ShouldBeNil)
			}
			client := store.Client()
			var touched []string
			client.Fault = func(kind, name string, _ bool) metastoretest.Fault {
				if strings.Contains(kind+name, "kept") && kind != "batches" {
					touched = append(touched, kind+"/"+name)
				}
				return metastoretest.None
			}
			later := batchlog.New(client, 2)
			later.Permit = func(job *batch.Job) bool { return len(job.Regions) == 0 }
			opened, err := later.Open(t.Context())
			So(err, ShouldBeNil)
			So(opened.Jobs, ShouldHaveLength, 1)
			So(opened.Jobs[0].Job.ID, ShouldEqual, "open")
			So(opened.Withheld, ShouldHaveLength, 1)
			So(opened.Withheld[0].Regions, ShouldResemble, [][]string{{"north"}, {"north", "south"}})
			So(opened.Withheld[0].RewardRegions, ShouldResemble, [][]string{{"north"}})
			So(opened.Withheld[0].Items, ShouldBeEmpty)
			_, err = later.Find(t.Context(), "kept")
			So(errors.Is(err, batchlog.ErrWithheld), ShouldBeTrue)
			So(touched, ShouldBeEmpty)
			Convey("A later term that is permitted has it whole", func() {
				found, err := batchlog.New(store.Client(), 3).Find(t.Context(), "kept")
				So(err, ShouldBeNil)
				So(found.Job.Items, ShouldHaveLength, itemCount)
			})
		})
	})
}
