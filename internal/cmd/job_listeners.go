package cmd

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
	"github.com/hornbeammast/hornbeammast/internal/transport/jobs"
	"github.com/hornbeammast/hornbeammast/platform"
)

func (s *jobServer) listen(bounds clientBounds) error {
	var err error
	if s.callers, err = httpconn.Listen(s.settings.CallerAddress, s.callerHandler,
		httpconn.Limits{MaxBody: platform.DefaultMaxBody, MaxConns: bounds.callers}, httpconn.WithGuard(s.guard),
		httpconn.WithRequestLimits(s.requestLimits), httpconn.WithRefusal(platform.Refuse)); err != nil {
		return err
	}
	if s.health, err = httpconn.Listen(s.settings.HealthAddress, platform.HealthHandler(s.host),
		httpconn.Limits{MaxBody: maxHealthBody, MaxConns: bounds.health}, httpconn.WithGuard(s.guard)); err != nil {
		return err
	}
	if !s.settings.MetricsAddress.IsValid() {
		return nil
	}
	s.metrics, err = httpconn.Listen(s.settings.MetricsAddress, s.metricsHandler(),
		httpconn.Limits{MaxBody: maxSubmissionBytes, MaxConns: bounds.metrics}, httpconn.WithGuard(s.guard))
	return err
}

const (
	// maxSubmissionBytes bounds the body of a request to the product's own interface.
	maxSubmissionBytes = 1 << 20
	// maxHealthBody bounds the body of a health check, which has none usually.
	maxHealthBody = 4 << 10
)

// requestLimits returns the limits of the configuration in force.
func (s *jobServer) requestLimits() httpconn.RequestLimits {
	c := s.host.Configuration()
	if c == nil {
		return httpconn.RequestLimits{}
	}
	return httpconn.RequestLimits{MaxBody: c.Limits.MaxBodyBytes, Limits: inbound.Limits{
		MaxHeaderBytes: c.Limits.MaxHeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
	}}
}

// metricsHandler serves the metrics, the dump of the process's state, and
// hornbeammast's own API for jobs.
func (s *jobServer) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.counters()) })
	mux.Handle("/jobs/", jobs.Handler(s.host))
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.host.Dump()) })
	return mux
}

// counters returns the job host's metrics and the number of events by name.
func (s *jobServer) counters() map[string]any {
	all := s.host.Metrics()
	all["events"] = s.log.Counts()
	all["clients"] = s.guard.Metrics()
	return all
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected, and then nobody needs the answer.
	_, _ = w.Write(data)
}
