package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/httplimit"
)

const (
	metricsHeaderTimeout = 2 * time.Second
	metricsTimeout       = 10 * time.Second // of a whole request
)

func newMetricsServer(sets []*metrics.Set, connections int, refusals *budget.Refusals) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		for _, set := range sets {
			set.WritePrometheus(w)
		}
	})
	return httplimit.NewServer(mux, httplimit.Config{
		Connections: connections, HeaderTimeout: metricsHeaderTimeout, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout,
		ActiveTime: metricsTimeout, Refusals: refusals,
	})
}

// serveHTTP serves until the server is closed.
func serveHTTP(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
