package demo

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/examples"
	"github.com/covelink/covelink/internal/lab/deployment"
	"github.com/covelink/covelink/internal/node"
	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

const (
	patience = 2 * time.Minute
	samples  = 96
)

func realNode(config settings.Settings, logger log.Logger, dial rpc.DialFunc) (deployment.Node, error) {
	return node.New(config, logger, node.Options{Dial: dial})
}

func exampleConfig(t *testing.T, name string) Config {
	lab, err := examples.Files.ReadFile(name + "/" + examples.LabFile)
	So(err, ShouldBeNil)
	resources, err := examples.Files.ReadFile(name + "/" + examples.ResourcesFile)
	So(err, ShouldBeNil)
	description, err := deployment.Parse(name, lab)
	So(err, ShouldBeNil)
	return Config{
		Description: description,
		Resources:   resources,
		Samples:     samples,
		Seed:        1,
		DataRoot:    t.TempDir(),
		NewNode:     realNode,
		Logger:      log.NewNopLogger(),
	}
}

func TestDemoKeepsEveryPromise(t *testing.T) {
	for _, name := range []string{"moreton", "cairnpath"} {
		Convey("The deployment of "+name+" keeps every promise while weights change", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			result, err := Run(ctx, exampleConfig(t, name))
			So(err, ShouldBeNil)
			So(result.Promises.Violations, ShouldBeEmpty)
			So(result.Promises.Whole, ShouldEqual, samples)
			So(result.Promises.Expected, ShouldEqual, samples)
			So(result.Promises.Executions, ShouldBeGreaterThanOrEqualTo, samples)
			So(result.Trainer.Received, ShouldEqual, samples)
			So(result.Trainer.Versions, ShouldBeGreaterThan, 1)
			for _, load := range result.Loads {
				So(load.Report.Sent, ShouldEqual, load.Report.Completed+load.Report.NotRun+load.Report.Unknown)
			}
		})
	}
}

func TestDemoFailsWhenItCannotRun(t *testing.T) {
	Convey("A node that can't be built is an error, not a report", t, func() {
		config := exampleConfig(t, "moreton")
		config.NewNode = func(settings.Settings, log.Logger, rpc.DialFunc) (deployment.Node, error) {
			return nil, errors.New("unfit")
		}
		_, err := Run(context.Background(), config)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "unfit")
	})
	Convey("Resources that can't be read are an error", t, func() {
		config := exampleConfig(t, "moreton")
		config.Resources = []byte("kind: Nothing\n")
		_, err := Run(context.Background(), config)
		So(err, ShouldNotBeNil)
	})
}
