package telemetry

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// replyMethod labels frames that carry replies, which name no method.
const replyMethod = "reply"

// The values of the label direction.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// NewRegistry returns a registry with the metrics of the process, the Go runtime and the build.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newBuildInfo(),
	)
	return registry
}

// Handler serves the metrics of the registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry})
}

// Version returns the version of the main module, or "devel" for a build from a working tree.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}

func newBuildInfo() prometheus.Collector {
	labels := prometheus.Labels{"version": Version(), "goversion": runtime.Version()}
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "covelink_build_info",
		Help:        "Always 1; the labels name the build.",
		ConstLabels: labels,
	})
	gauge.Set(1)
	return gauge
}

// RPCMetrics counts the frames of the internal protocol. It implements rpc.Observer.
type RPCMetrics struct {
	frames *prometheus.CounterVec
	bytes  *prometheus.CounterVec
}

// NewRPCMetrics returns RPCMetrics registered with registerer.
func NewRPCMetrics(registerer prometheus.Registerer) *RPCMetrics {
	labels := []string{"method", "direction"}
	metrics := &RPCMetrics{
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_rpc_frames_total",
			Help: "Frames of the internal protocol.",
		}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_rpc_bytes_total",
			Help: "Bytes of the frames of the internal protocol.",
		}, labels),
	}
	registerer.MustRegister(metrics.frames, metrics.bytes)
	return metrics
}

// Frame implements rpc.Observer.
func (m *RPCMetrics) Frame(method string, sent bool, bytes int) {
	if method == "" {
		method = replyMethod
	}
	direction := directionReceived
	if sent {
		direction = directionSent
	}
	m.frames.WithLabelValues(method, direction).Inc()
	m.bytes.WithLabelValues(method, direction).Add(float64(bytes))
}

// RegisterCertificateExpiry adds a gauge of the time at which the named certificate expires, read from notAfter at
// every scrape. A zero time is shown as 0: no certificate.
func RegisterCertificateExpiry(registerer prometheus.Registerer, name string, notAfter func() time.Time) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "covelink_tls_certificate_expiry_timestamp_seconds",
		Help:        "Time at which the certificate expires, in seconds since 1970; 0 without a certificate.",
		ConstLabels: prometheus.Labels{"certificate": name},
	}, func() float64 {
		expiry := notAfter()
		if expiry.IsZero() {
			return 0
		}
		return float64(expiry.Unix())
	}))
}
