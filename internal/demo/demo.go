// Package demo shows the whole path in one process and checks what it shows.
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
	// patience bounds each wait.
	patience = 10 * time.Second
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// demo is a running demonstration.
type demo struct {
	out      io.Writer
	events   *eventlog.Log
	http     *httpconn.Client
	platform *standin.Platform
	workers  []*standin.Worker
	entries  []*entryhost.EntryHost
	site     *site.Site
	jobs     int
	checks   []check
}

// check is one line of the closing table.
type check struct {
	name string
	err  error
}

// step is one part of the demonstration.
type step struct {
	name string
	run  func() error
}

// Run shows the whole path; it fails if anything did not hold. Events go to log.
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
		d.checks = append(d.checks, check{s.name, err})
		if err != nil {
			break
		}
	}
	return d.table(time.Since(began))
}

func (d *demo) steps() []step {
	return []step{
		{"start a platform, six workers, and three entry hosts in two data centres", d.start},
		{"create two pools with budgets by a patch; it is in force everywhere", d.patch},
		{"a stale patch is refused", d.stalePatch},
		{"serve idempotent requests at every entry host", d.idempotent},
		{"a non-idempotent request sent to all entry hosts at once runs once", d.duplicates},
		{"work that fits no host is refused, and did not run", d.neverFits},
		{"drain, reboot and return a host inside the budget, under load", d.maintain},
		{"a drain that would break the budget is refused", d.overBudget},
		{"move a host to the other pool; it is never in both", d.move},
		{"replace an entry host", d.replace},
		{"an append whose answer is lost is not done twice", d.lostAnswer},
		{"the platform goes away: idempotent work goes on, the rest is refused truly", d.outage},
		{"the platform is back: what waited is in force", d.afterOutage},
		{"shut an entry host down with requests in flight; none is cut off", d.shutdown},
		{"no worker ever ran more than its slots", d.slotsHeld},
		{"start an emulated platform for jobs with three entry hosts", d.startSite},
		{"a job's second step waits for its first; the job is done", d.dependentSteps},
		{"a cancelled job ends at once and runs nothing", d.cancelJob},
		{"a worker dies: what it ran is started again, and not twice", d.workerDies},
		{"the owner of a pool dies: another one goes on with its jobs", d.ownerDies},
		{"workers and callers saw no promise broken", d.promisesHeld},
	}
}

func (d *demo) table(took time.Duration) error {
	failed := 0
	_, _ = fmt.Fprintf(d.out, "\n%-76s %s\n", "ASSERTED", "RESULT")
	for _, c := range d.checks {
		result := "held"
		if c.err != nil {
			failed++
			result = "BROKEN: " + c.err.Error()
		}
		_, _ = fmt.Fprintf(d.out, "%-76s %s\n", c.name, result)
	}
	_, _ = fmt.Fprintf(d.out, "%d of %d asserted in %.1f s\n", len(d.checks)-failed, len(d.steps()), took.Seconds())
	if failed > 0 {
		return errors.New("the demo found something that did not hold")
	}
	return nil
}

func (d *demo) close() {
	if d.site != nil {
		d.site.Close()
	}
	for _, e := range d.entries {
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

func (d *demo) start() error {
	var err error
	if d.http, err = httpconn.New(); err != nil {
		return err
	}
	d.platform, err = standin.StartPlatform(anyPort, standin.WithRetention(time.Minute), standin.WithLag(100*time.Millisecond),
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
		if err := d.launch(fmt.Sprintf("%s-%d", dataCentre, n), dataCentre); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if err := eventually("an entry host serves", func() bool { return d.status(e).Refusing == "" }); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) launch(name, dataCentre string) error {
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
	d.entries = append(d.entries, e)
	return nil
}

// eventually waits for a condition.
func eventually(what string, condition func() bool) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.Newf("it never came true that %s", what)
}

func background() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), patience)
}
