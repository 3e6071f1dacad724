package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/jobhost"
	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
	"github.com/hornbeammast/hornbeammast/internal/transport/peer"
	"github.com/hornbeammast/hornbeammast/platform"
)

const (
	// taskLease is how long a worker keeps running tasks without a renewal from its
	// owner. A new owner takes over within the group's TTL plus one second, in which it
	// reads the records.
	taskLease = 5 * time.Second
	// maxUnconfirmed is how long an owner keeps scheduling while the log does not answer.
	// A longer time lets more work run during an outage, but makes a new owner wait
	// longer for unresponsive hosts.
	maxUnconfirmed = 6 * time.Second
	// groupTTL is how long an unresponsive group member keeps its partitions. It spans
	// four renewals.
	groupTTL = 1200 * time.Millisecond
	// renewalWait is how long a worker may delay its renewal reply until a run ends. It is
	// short enough to renew a lease well before the lease expires.
	renewalWait = 1500 * time.Millisecond
	// poolHeadroom is the ratio of a pool's capacity to its demand. It exceeds 1 because
	// tasks don't fill hosts exactly.
	poolHeadroom = 1.15
	// minPoolHosts is the smallest number of hosts in a pool, so that the first job of
	// an idle pool finds free capacity.
	minPoolHosts = 3
	// shrinkAfter is how long a pool must have surplus hosts before it releases some. To
	// move a host away and back costs as much as keeping it for two seconds.
	shrinkAfter = 1500 * time.Millisecond
	// offPeakShare is the fraction of a wave's duration in which busy hosts are maintained
	// only while their pool's demand is low.
	offPeakShare = 0.2
	// maxConnsPerAddress bounds the open connections to one worker or platform service. To the log,
	// each partition of an owner may have an append and its repeats open.
	maxConnsPerAddress = 64
	// machineAnswerTime is how long the machine service may take to answer an order.
	machineAnswerTime = 250 * time.Millisecond
	// minMachineConns and maxMachineConns bound the open orders to the machine service;
	// machineListConns are kept free for the list of machines.
	minMachineConns, maxMachineConns, machineListConns = 16, 256, 4
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the
	// soft limit of the Go runtime, above which garbage is collected more often.
	memoryLimitFraction = 0.8
	// unmanagedMB is memory, in MB, that the runtime's limit does not count, such as the pages of
	// the program itself (about 12 MB), and by which the heap exceeds the limit while the
	// collector lacks processor time. It matters for limits below 200 MB.
	unmanagedMB = 40
	// gcPercent is how much garbage may come on top of the live heap, in per cent. Most of an
	// owner's memory is short-lived, and collecting it takes time from starts.
	gcPercent = 200
	// minDrainTime is the shortest time to keep serving during a shutdown: the balancer
	// needs that long to notice that it must send no more callers here.
	minDrainTime = 2500 * time.Millisecond
	// exitMargin is how long before the end of the shutdown grace period the process exits
	// by itself.
	exitMargin = 700 * time.Millisecond
	// milliPerCore converts cores to thousandths of a core.
	milliPerCore = 1000
	// openPollInterval is the interval at which open requests are counted while draining.
	openPollInterval = 20 * time.Millisecond
)

// jobServer is a running entry host for jobs with its listeners.
type jobServer struct {
	settings settings.JobSettings
	log      *eventlog.Log
	client   *httpconn.Client
	// machineClient is the client of the machine service, to which many orders may be open.
	machineClient *httpconn.Client
	host          *jobhost.JobHost
	callerHandler *platform.CallerHandler
	callers       *httpconn.Server
	health        *httpconn.Server
	metrics       *httpconn.Server
	guard         *inbound.Guard
}

// serveJobs serves until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP reloads the
// settings.
func serveJobs(c *console, path string) error {
	loaded, err := settings.LoadJobSettings(path)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	out := eventlog.NewBoundedWriter(c.out, loaded.LogBytesPerSecond)
	defer out.Close()
	log, err := eventlog.New(out, loaded.LogLevel)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(loaded.Process.MemoryMB))
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

// memoryLimit returns the soft limit of the Go runtime, in bytes, for a process's limit in MB.
func memoryLimit(processMB int) int64 {
	limit := min(memoryLimitFraction*float64(processMB), float64(max(unmanagedMB, processMB-unmanagedMB)))
	return int64(limit * (1 << 20))
}

func startJobs(loaded settings.JobSettings, log *eventlog.Log) (*jobServer, error) {
	s := &jobServer{settings: loaded, log: log}
	clock, err := jobhost.NewClock()
	if err != nil {
		return nil, errors.Wrap(err, "read the system clock")
	}
	if s.client, err = httpconn.New(httpconn.WithMaxConns(maxConnsPerAddress)); err != nil {
		return nil, err
	}
	if s.machineClient, err = httpconn.New(httpconn.WithMaxConns(maxOpenOrders(&loaded.Platform) + machineListConns)); err != nil {
		return nil, err
	}
	p := jobhost.Platform{
		Log: &platform.Log{HTTP: s.client, Address: loaded.Platform.LogAddress, RecordBytes: loaded.Platform.RecordBytes}, Workers: &platform.Workers{HTTP: s.client},
		Machines:  &platform.Machines{HTTP: s.machineClient, Address: loaded.Platform.MachinesAddress},
		Placement: &platform.PlacementChecker{HTTP: s.client, Address: loaded.Platform.PlacementCheckAddress},
		Records:   platform.RecordCodec{},
	}
	bounds := boundsOfClients(loaded.Process)
	s.guard = inbound.NewGuard(bounds.received, log)
	network := peer.TCP{Guard: s.guard, MaxConns: bounds.peers}
	if s.host, err = jobhost.Start(hostSettings(loaded), p, log, clock, jobhost.WithNetwork(network)); err != nil {
		return nil, err
	}
	s.callerHandler = &platform.CallerHandler{Host: s.host}
	return s, s.listen(bounds)
}

// hostSettings derives the settings of the job host and its schedulers from the settings
// file, which holds the bounds that the platform sets.
func hostSettings(loaded settings.JobSettings) jobhost.Settings {
	b := loaded.Bounds
	ttl := max(groupTTL, loaded.Platform.MinGroupTTL.Std())
	return jobhost.Settings{
		Name: loaded.Name, DataCentre: loaded.DataCentre, PeerAddress: loaded.PeerAddress,
		Partitions: loaded.Platform.Partitions,
		LogLimits:  keyedlog.Limits{Record: loaded.Platform.RecordBytes, Call: loaded.Platform.CallBytes},
		GroupTTL:   ttl, VersionTime: b.VersionTime.Std(),
		Resources: candidacy.Capacity{
			CPU: int64(milliPerCore * loaded.Process.CoreShare * loaded.Process.CoreSpeed), LinkMbps: int64(loaded.Process.LinkMbps),
		},
		Losses: candidacy.Losses{Hosts: b.LostHosts, DataCentres: b.LostDataCentres},
		Capacity: jobhost.Capacity{
			HolderLease:     b.HolderLease.Std(),
			OrdersPerSecond: loaded.Platform.MachineOrdersPerSecond, ReadsPerSecond: loaded.Platform.MachineReadsPerSecond,
			MaxOpenOrders: maxOpenOrders(&loaded.Platform),
			Options: capacity.Options{
				HeadroomFactor: poolHeadroom, MinHosts: minPoolHosts, ShrinkAfter: shrinkAfter, OffPeakShare: offPeakShare,
				MoveTime: b.MoveTime.Std(), MaintenanceTime: b.MaintenanceTime.Std(), FormerOwnerOrderTime: ttl,
			},
		},
		Limits: schedule.Limits{
			Lease: min(taskLease, b.MaxLease.Std()), MaxLease: b.MaxLease.Std(), MaxUnconfirmed: maxUnconfirmed, RenewalWait: renewalWait,
			CheckpointInterval: b.CheckpointInterval.Std(), RemoteDataFactor: b.RemoteDataFactor, NoticeTime: b.NoticeTime.Std(), StopTime: b.StopTime.Std(),
			ContactTime: b.ContactTime.Std(), ReportInterval: loaded.Platform.ReportInterval.Std(), EndedJobRetention: b.EndedJobRetention.Std(),
		},
		AdmissionControl: loaded.AdmissionControl,
		PoolOptions:      []schedule.Option{schedule.WithInterference(interference.Mode(loaded.Interference))},
	}
}

// maxOpenOrders returns how many orders to the machine service may be open, so that its
// rate limit can be used although an answer takes machineAnswerTime.
func maxOpenOrders(p *settings.PlatformSettings) int {
	return min(maxMachineConns, max(minMachineConns, int(p.MachineOrdersPerSecond*machineAnswerTime.Seconds())))
}

// reload reads the settings file and logs whether it is valid and changed. It applies
// nothing: addresses and bounds take effect only with a restart.
func (s *jobServer) reload(path string) {
	loaded, err := settings.LoadJobSettings(path)
	s.log.Event("settings-reloaded", "file", path, "changed", err == nil && loaded != s.settings, "error", err)
}

// shutdown releases the pools, completes open requests and stops within the shutdown grace
// period.
func (s *jobServer) shutdown() error {
	began := time.Now()
	grace := s.settings.Bounds.ShutdownGrace.Std() - exitMargin
	s.log.Event("shutdown-begun", "open", s.callerHandler.InFlight(), "grace", grace)
	s.callerHandler.SetShutdownDeadline(began.Add(grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	s.host.Drain(ctx)
	for ctx.Err() == nil && (time.Since(began) < minDrainTime || s.callerHandler.InFlight() > 0) {
		_ = pause.For(ctx, openPollInterval)
	}
	s.log.Event("shutdown-finished", "open", s.callerHandler.InFlight(), "took", time.Since(began))
	for _, server := range []*httpconn.Server{s.callers, s.health, s.metrics} {
		if server != nil {
			server.Close()
		}
	}
	s.host.Close()
	s.client.Close()
	s.machineClient.Close()
	return nil
}
