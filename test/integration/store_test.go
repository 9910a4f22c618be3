package integration

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	v1 "github.com/covelink/covelink/api/v1"
	"github.com/covelink/covelink/client"
	"github.com/covelink/covelink/internal/lab/objectapi"
)

// application returns the resource of an application with one token.
func application(name, token string) []byte {
	return fmt.Appendf(nil, `apiVersion: covelink.io/v1
kind: Application
metadata:
  name: %s
spec:
  pools: [summ-lm]
  tokenHashes: [%s]
`, name, v1.HashToken(token))
}

// ask sends one request to a node and returns its outcome.
func (r *run) ask(node, token string, request client.CompletionRequest) (client.Completion, error) {
	service, err := client.New(client.Options{
		BaseURLs: []string{r.CallerURL(node)}, Token: token, HTTPClient: plainClient(), MaxAttempts: 1,
	})
	So(err, ShouldBeNil)
	return service.Complete(r.ctx, request)
}

// completes sends requests to a node until one is completed; every refusal before must say that nothing was run.
func (r *run) completes(node, token string) {
	for number := 0; ; number++ {
		_, err := r.ask(node, token, client.CompletionRequest{Pool: "summ-lm", Prompt: "a question", MaxTokens: 4, Seed: int64(number)})
		if err == nil {
			return
		}
		So(outcomeOf(err), ShouldEqual, v1.OutcomeNotRun)
		So(r.pauseBriefly(), ShouldBeNil)
	}
}

func TestStoreDown(t *testing.T) {
	Convey("With the store down, nodes restart, requests go on and an accepted change does not revert", t, func() {
		withSmall(t, func(r *run) {
			const token = "late-token"
			So(r.session.Apply(r.ctx, application("late", token)), ShouldBeNil)
			r.work()
			r.waitDelivered(samples() / 8)
			So(r.SetStoreFaults(r.ctx, objectapi.Faults{Unavailable: true}), ShouldBeNil)
			for _, name := range r.NodeNames() {
				So(r.Node(name).Kill(r.ctx), ShouldBeNil)
				So(r.Node(name).Start(r.ctx), ShouldBeNil)
				So(r.WaitNodeReady(r.ctx, name), ShouldBeNil)
				r.completes(name, token)
			}
			So(r.SetStoreFaults(r.ctx, objectapi.Faults{StaleBy: 2}), ShouldBeNil)
			for _, name := range r.NodeNames() {
				r.completes(name, token)
			}
			So(r.SetStoreFaults(r.ctx, objectapi.Faults{}), ShouldBeNil)
			for _, name := range r.NodeNames() {
				r.completes(name, token)
			}
			So(r.finish().Promises.Whole, ShouldEqual, samples())
		})
	})
}
