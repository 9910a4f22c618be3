package telemetry_test

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/telemetry"
)

var _ rpc.Observer = (*telemetry.RPCMetrics)(nil)

func TestMetrics(t *testing.T) {
	Convey("A registry serves build, runtime, protocol and certificate metrics", t, func() {
		registry := telemetry.NewRegistry()
		observer := telemetry.NewRPCMetrics(registry)
		observer.Frame("weights.PutTarget", true, 100)
		observer.Frame("weights.PutTarget", true, 20)
		observer.Frame("", false, 7)
		telemetry.RegisterCertificateExpiry(registry, "internal", func() time.Time { return time.Unix(1234, 0) })
		telemetry.RegisterCertificateExpiry(registry, "caller", func() time.Time { return time.Time{} })

		recorder := httptest.NewRecorder()
		telemetry.Handler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		body := recorder.Body.String()

		So(body, ShouldContainSubstring, `covelink_rpc_frames_total{direction="sent",method="weights.PutTarget"} 2`)
		So(body, ShouldContainSubstring, `covelink_rpc_bytes_total{direction="sent",method="weights.PutTarget"} 120`)
		So(body, ShouldContainSubstring, `covelink_rpc_frames_total{direction="received",method="reply"} 1`)
		So(body, ShouldContainSubstring, `covelink_tls_certificate_expiry_timestamp_seconds{certificate="internal"} 1234`)
		So(body, ShouldContainSubstring, `covelink_tls_certificate_expiry_timestamp_seconds{certificate="caller"} 0`)
		So(body, ShouldContainSubstring, `covelink_build_info{`)
		So(body, ShouldContainSubstring, `go_goroutines`)
	})
}
