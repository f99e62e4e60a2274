package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const metricsHeaderTimeout = 2 * time.Second

func newMetricsServer(sets []*metrics.Set) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		for _, set := range sets {
			set.WritePrometheus(w)
		}
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
}

// serveHTTP serves until the server is closed.
func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
