package cmd

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/jobhost"
	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/jobs"
	"github.com/hornbeammast/hornbeammast/platform"
)

const (
	// taskLease is how long a host runs on without its owner: a new owner is there
	// within the group's TTL and a second to read the records.
	taskLease = 5 * time.Second
	// maxUnconfirmed is how long an owner acts while the log does not answer; longer
	// means more work through an outage, and a longer wait for silent hosts after a
	// change of owner.
	maxUnconfirmed = 6 * time.Second
	// groupTTL is how long a silent member keeps its partitions: four renewals.
	groupTTL = 1200 * time.Millisecond
	// holdWait is how long a worker may wait with its answer; renews a lease well
	// before its end.
	holdWait = 1500 * time.Millisecond
	// poolHeadroom times the demand is what a pool gets, since tasks don't fill hosts exactly.
	poolHeadroom = 1.15
	// poolFloor is the least number of hosts of a pool, so that a first job finds room.
	poolFloor = 3
	// shrinkAfter is how long a pool must have too many hosts before it gives some up;
	// a move there and back costs as much as a host for two seconds.
	shrinkAfter = 1500 * time.Millisecond
	// waveShare is the part of a wave's time in which it waits for the pools' troughs.
	waveShare = 0.2
	// connsPerAddress bounds the connections to one worker or service.
	connsPerAddress = 24
	// connsFromCallers bounds the callers' open connections, below the descriptors.
	connsFromCallers = 2000
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.8
	// drainNotice is how long the balancer needs to see that no callers should come.
	drainNotice = 2500 * time.Millisecond
	// drainEnd is how long before the end of the grace the process ends by itself.
	drainEnd = 700 * time.Millisecond
	// openCheck is how often open requests are counted while draining.
	openCheck = 20 * time.Millisecond
)

// jobServer is one running entry host for jobs with its listeners.
type jobServer struct {
	settings settings.JobSettings
	log      *eventlog.Log
	client   *httpconn.Client
	host     *jobhost.JobHost
	entry    *platform.Entry
	callers  *httpconn.Server
	health   *httpconn.Server
	metrics  *httpconn.Server
}

// serveJobs serves until SIGTERM or SIGINT, then shuts down gracefully.
func serveJobs(c *console, path string) error {
	loaded, err := settings.LoadJobs(path)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	out := eventlog.NewBounded(c.out, loaded.LogBytesPerSecond)
	defer out.Close()
	log, err := eventlog.New(out, loaded.LogLevel)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.Process.MemoryMB) * (1 << 20)))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := startJobs(loaded, log)
	if err != nil {
		return err
	}
	for got := range signals {
		if got != syscall.SIGHUP {
			break
		}
		s.reload(path)
	}
	return s.shutdown()
}

func startJobs(loaded settings.JobSettings, log *eventlog.Log) (*jobServer, error) {
	s := &jobServer{settings: loaded, log: log}
	clock, err := jobhost.NewClock()
	if err != nil {
		return nil, errors.Wrap(err, "read the clock")
	}
	if s.client, err = httpconn.New(httpconn.WithMaxConns(connsPerAddress)); err != nil {
		return nil, err
	}
	p := jobhost.Platform{
		Log: &platform.Log{HTTP: s.client, Address: loaded.Platform.LogAddress}, Workers: &platform.Workers{HTTP: s.client},
		Machines:  &platform.Machines{HTTP: s.client, Address: loaded.Platform.MachinesAddress},
		Advice:    &platform.Advice{HTTP: s.client, Address: loaded.Platform.AdviceAddress},
		Published: platform.Published{},
	}
	if s.host, err = jobhost.Start(hostSettings(loaded), p, log, clock); err != nil {
		return nil, err
	}
	s.entry = &platform.Entry{Host: s.host}
	return s, s.listen()
}

// hostSettings works the platform's bounds out into those of the schedulers.
func hostSettings(loaded settings.JobSettings) jobhost.Settings {
	b := loaded.Bounds
	ttl := max(groupTTL, loaded.Platform.LeastGroupTTL.Std())
	return jobhost.Settings{
		Name: loaded.Name, DataCentre: loaded.DataCentre, PeerAddress: loaded.PeerAddress,
		Partitions: loaded.Platform.Partitions,
		GroupTTL:   ttl,
		Capacity: jobhost.Capacity{
			HolderLease:     b.HolderLease.Std(),
			OrdersPerSecond: loaded.Platform.MachineOrdersPerSecond, ReadsPerSecond: loaded.Platform.MachineReadsPerSecond,
			Options: capacity.Options{
				Headroom: poolHeadroom, FloorHosts: poolFloor, ShrinkAfter: shrinkAfter, WaveShare: waveShare,
				MoveTime: b.MoveTime.Std(), MaintenanceTime: b.MaintenanceTime.Std(), HandOver: ttl,
			},
		},
		Limits: schedule.Limits{
			Lease: min(taskLease, b.MaxLease.Std()), MaxLease: b.MaxLease.Std(), MaxUnconfirmed: maxUnconfirmed, HoldWait: holdWait,
			CheckpointEvery: b.CheckpointEvery.Std(), FarFactor: b.FarFactor, NoticeTime: b.NoticeTime.Std(),
			KeepEnded: b.KeepEnded.Std(),
		},
	}
}

func (s *jobServer) listen() error {
	limits := httpconn.Limits{MaxBody: maxSubmissionBytes, MaxConns: connsFromCallers}
	var err error
	if s.callers, err = httpconn.Listen(s.settings.CallerAddress, s.entry, limits); err != nil {
		return err
	}
	if s.health, err = httpconn.Listen(s.settings.HealthAddress, platform.Health(s.host), limits); err != nil {
		return err
	}
	if !s.settings.MetricsAddress.IsValid() {
		return nil
	}
	s.metrics, err = httpconn.Listen(s.settings.MetricsAddress, s.metricsHandler(), limits)
	return err
}

// maxSubmissionBytes bounds a body before the configuration's own limit does.
const maxSubmissionBytes = 1 << 20

// metricsHandler serves counters, the dump of the process's state, and the product's
// own interface for jobs.
func (s *jobServer) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.counters()) })
	mux.Handle("/jobs/", jobs.Handler(s.host))
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.host.Dump()) })
	return mux
}

// counters are how often each event happened, and the latencies.
func (s *jobServer) counters() map[string]any {
	all := s.host.Metrics()
	all["events"] = s.log.Counts()
	return all
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A reader that has gone takes no answer.
	_, _ = w.Write(data)
}

// reload checks the changed settings. Addresses and bounds stay until a restart.
func (s *jobServer) reload(path string) {
	loaded, err := settings.LoadJobs(path)
	s.log.Event("settings-reloaded", "file", path, "changed", err == nil && loaded != s.settings, "error", err)
}

// shutdown gives the pools away, answers what is open, and ends within the grace.
func (s *jobServer) shutdown() error {
	began := time.Now()
	grace := s.settings.Bounds.ShutdownGrace.Std() - drainEnd
	s.log.Event("shutdown-begun", "open", s.entry.Open(), "grace", grace)
	s.entry.EndBy(began.Add(grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.host.Drain(ctx)
	for ctx.Err() == nil && (time.Since(began) < drainNotice || s.entry.Open() > 0) {
		_ = pause.For(ctx, openCheck)
	}
	s.log.Event("shutdown-finished", "open", s.entry.Open(), "took", time.Since(began))
	for _, server := range []*httpconn.Server{s.callers, s.health, s.metrics} {
		if server != nil {
			server.Close()
		}
	}
	s.host.Close()
	s.client.Close()
	return nil
}
