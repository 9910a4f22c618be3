package gateway

import (
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's own.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer, inFlight func() (requests, background int)) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "covelink_gateway_requests_total",
			Help: "Requests answered, by route and HTTP status.",
		}, []string{"route", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "covelink_gateway_request_duration_seconds",
			Help:    "Time from the request's headers to the end of its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
	}
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "covelink_gateway_requests_in_flight",
		Help: "Requests in flight.",
	}, func() float64 {
		requests, _ := inFlight()
		return float64(requests)
	})
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, gauge)
	}
	return m
}

// observe measures the request.
func (g *Gateway) observe(c *gin.Context) {
	start := g.params.Now()
	c.Next()
	route := c.FullPath()
	g.metrics.requests.WithLabelValues(route, strconv.Itoa(c.Writer.Status())).Inc()
	g.metrics.latency.WithLabelValues(route).Observe(g.params.Now().Sub(start).Seconds())
}
