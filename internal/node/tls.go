package node

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/covelink/covelink/internal/rpc"
	"github.com/covelink/covelink/internal/settings"
)

// The values of the label use of the certificate metric.
const (
	useInternal = "internal"
	useCallers  = "callers"
)

// certificates are the TLS files that the settings name; nil for plain TCP.
type certificates struct {
	internal *rpc.TLSFiles
	callers  *rpc.TLSFiles
}

// newCertificates reads the files and registers when their certificates expire.
func newCertificates(config settings.Settings, registerer prometheus.Registerer) (certificates, error) {
	var loaded certificates
	var err error
	if files := config.TLS; files.CertFile != "" {
		if loaded.internal, err = rpc.LoadTLSFiles(files.CertFile, files.KeyFile, files.CAFile); err != nil {
			return certificates{}, err
		}
		registerer.MustRegister(newExpiryMetric(useInternal, loaded.internal))
	}
	if files := config.TLS; files.CallerCertFile != "" {
		if loaded.callers, err = rpc.LoadServerTLSFiles(files.CallerCertFile, files.CallerKeyFile); err != nil {
			return certificates{}, err
		}
		registerer.MustRegister(newExpiryMetric(useCallers, loaded.callers))
	}
	return loaded, nil
}

// newExpiryMetric follows the files: its value changes as soon as a replaced certificate is in use.
func newExpiryMetric(use string, files *rpc.TLSFiles) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "covelink_certificate_expiry_timestamp_seconds",
		Help:        "When the certificate in use expires, in seconds since 1970.",
		ConstLabels: prometheus.Labels{"use": use},
	}, func() float64 { return float64(files.Expiry().Unix()) })
}

// dial returns how other nodes are reached unless the options say otherwise; nil means TCP.
func (c certificates) dial() rpc.DialFunc {
	if c.internal == nil {
		return nil
	}
	return c.internal.Dial
}

// secure wraps a listener by the files, if there are any.
func secure(listener net.Listener, files *rpc.TLSFiles) net.Listener {
	if files == nil {
		return listener
	}
	return files.Listener(listener)
}
