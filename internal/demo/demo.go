// Package demo runs the whole system in one process, from platform to callers, and checks
// each step.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/emulator/site"
	"github.com/hornbeammast/hornbeammast/internal/entryhost"
	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
	"github.com/hornbeammast/hornbeammast/internal/standin"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

const (
	workers = 6
	slots   = 8
	// waitTimeout bounds each wait for a condition and each HTTP request.
	waitTimeout = 10 * time.Second
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// demo is a running demonstration.
type demo struct {
	out        io.Writer
	events     *eventlog.Log
	http       *httpconn.Client
	platform   *standin.Platform
	workers    []*standin.Worker
	entryHosts []*entryhost.EntryHost
	site       *site.Site
	jobs       int
	results    []stepResult
}

// stepResult is the result of one step in the closing table.
type stepResult struct {
	name string
	err  error
}

// step is one part of the demonstration.
type step struct {
	name string
	run  func() error
}

// Run runs the steps up to the first failure and prints a table of results. It returns an
// error if a step failed. The entry hosts' events are written to log.
func Run(out, log io.Writer) error {
	events, err := eventlog.New(log, "info")
	if err != nil {
		return err
	}
	d := &demo{out: out, events: events}
	defer d.close()
	began := time.Now()
	for _, s := range d.steps() {
		_, _ = fmt.Fprintf(out, "%6.2fs  %s\n", time.Since(began).Seconds(), s.name)
		err := s.run()
		d.results = append(d.results, stepResult{s.name, err})
		if err != nil {
			break
		}
	}
	return d.printResults(time.Since(began))
}

func (d *demo) steps() []step {
	return []step{
		{"start a platform, six workers, and three entry hosts in two data centres", d.startSystem},
		{"create two pools with budgets by a patch; it is in force everywhere", d.createPools},
		{"a stale patch is refused", d.refuseStalePatch},
		{"serve idempotent requests at every entry host", d.sendIdempotent},
		{"a non-idempotent request sent to all entry hosts at once runs once", d.sendDuplicates},
		{"a request that fits no host is refused without running", d.refuseOversized},
		{"drain, reboot and return a host within the budget, under load", d.rebootUnderLoad},
		{"a drain that would break the budget is refused", d.refuseOverBudgetDrain},
		{"move a host to the other pool; it is never in both", d.moveHost},
		{"replace an entry host", d.replaceEntryHost},
		{"an append whose answer is lost takes effect once", d.loseAppendAnswer},
		{"platform outage: idempotent requests run, others are refused without running", d.beginOutage},
		{"the outage ends: non-idempotent requests run again", d.endOutage},
		{"shut an entry host down with requests in flight; none is cut off", d.shutDownEntryHost},
		{"no worker ever ran more than its slots", d.checkSlotLimits},
		{"start an emulated platform for jobs with three entry hosts", d.startSite},
		{"a job's second step starts after its first step, and the job completes", d.runDependentSteps},
		{"a cancelled job ends and its tasks are stopped", d.cancelJob},
		{"a worker crashes: its tasks are started again, and not twice", d.crashWorker},
		{"the owner of a pool is killed: another entry host continues its jobs", d.killOwner},
		{"no guarantee to workers and callers was violated", d.checkGuarantees},
	}
}

// printResults prints the result of each step that ran, and returns an error if one failed.
func (d *demo) printResults(took time.Duration) error {
	failed := 0
	_, _ = fmt.Fprintf(d.out, "\n%-76s %s\n", "ASSERTED", "RESULT")
	for _, c := range d.results {
		result := "held"
		if c.err != nil {
			failed++
			result = "BROKEN: " + c.err.Error()
		}
		_, _ = fmt.Fprintf(d.out, "%-76s %s\n", c.name, result)
	}
	_, _ = fmt.Fprintf(d.out, "%d of %d asserted in %.1f s\n", len(d.results)-failed, len(d.steps()), took.Seconds())
	if failed > 0 {
		return errors.New("a step of the demo failed")
	}
	return nil
}

func (d *demo) close() {
	if d.site != nil {
		d.site.Close()
	}
	for _, e := range d.entryHosts {
		e.Kill()
	}
	for _, w := range d.workers {
		w.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
	if d.http != nil {
		d.http.Close()
	}
}

func (d *demo) startSystem() error {
	var err error
	if d.http, err = httpconn.New(); err != nil {
		return err
	}
	d.platform, err = standin.StartPlatform(anyPort, standin.WithRetention(time.Minute), standin.WithLiveListLag(100*time.Millisecond),
		standin.WithHeartbeatTimeout(1500*time.Millisecond), standin.WithRebootTime(300*time.Millisecond))
	if err != nil {
		return err
	}
	for n := range workers {
		w, err := standin.StartWorker(fmt.Sprintf("w%d", n), anyPort, slots)
		if err != nil {
			return err
		}
		d.platform.AddWorker(w)
		d.workers = append(d.workers, w)
	}
	for n, dataCentre := range []string{"gilgit", "gilgit", "thatta"} {
		if err := d.startEntryHost(fmt.Sprintf("%s-%d", dataCentre, n), dataCentre); err != nil {
			return err
		}
	}
	for _, e := range d.entryHosts {
		if err := eventually("an entry host serves", func() bool { return d.status(e).Refusing == "" }); err != nil {
			return err
		}
	}
	return nil
}

// startEntryHost starts an entry host with short timeouts for the demo.
func (d *demo) startEntryHost(name, dataCentre string) error {
	s := settings.Default()
	s.Name, s.DataCentre = name, dataCentre
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = anyPort, anyPort, anyPort
	s.PlatformAddress = d.platform.Address()
	s.Members.IsolationBound = fleet.Duration(4 * time.Second)
	s.Members.RemovalBound = fleet.Duration(8 * time.Second)
	s.Log.Retention = fleet.Duration(time.Minute)
	e, err := entryhost.Start(s, d.events)
	if err != nil {
		return err
	}
	d.entryHosts = append(d.entryHosts, e)
	return nil
}

// eventually polls a condition until it is true or waitTimeout has passed.
func eventually(what string, condition func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.Newf("timed out waiting until %s", what)
}

func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}
