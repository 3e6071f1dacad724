// Package maintenance takes hosts through drains, reboots and moves, and plans
// which one goes next.
package maintenance

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Submitter appends records and waits for their outcome.
type Submitter interface {
	State() *state.State
	Submit(ctx context.Context, record *wire.Record) (state.Outcome, error)
}

// Platform acts on hosts.
type Platform interface {
	Reboot(ctx context.Context, host, operation string) error
	Host(ctx context.Context, host string) (platformapi.HostStatus, error)
}

// Directory is the live list.
type Directory interface {
	Owns(key string) bool
	Host(name string) (platformapi.Host, bool)
	EntryHosts(dataCentre string) []platformapi.EntryHost
	Refreshed() time.Time
}

// Events takes what happened, for the log.
type Events interface {
	Event(name string, pairs ...any)
}

const (
	defaultFailBound = 5 * time.Second
	defaultLostBound = 15 * time.Second
)

// Executor takes the next step for each host of its data centre. All steps are
// guarded by the fold, so two executors at once do no harm.
type Executor struct {
	submitter  Submitter
	platform   Platform
	directory  Directory
	events     Events
	dataCentre string

	failBound time.Duration
	lostBound time.Duration
	downSince map[string]time.Time
	lostSince map[string]time.Time

	listedFor *fleet.Document
	local     []string
}

// ExecutorOption changes an Executor.
type ExecutorOption func(*Executor)

// WithFailBound sets how long a host must be down before it counts as failed.
func WithFailBound(d time.Duration) ExecutorOption { return func(e *Executor) { e.failBound = d } }

// WithLostBound sets how long a data centre must be silent before it counts as lost.
func WithLostBound(d time.Duration) ExecutorOption { return func(e *Executor) { e.lostBound = d } }

// NewExecutor makes the executor of one entry host.
func NewExecutor(submitter Submitter, platform Platform, directory Directory, events Events, dataCentre string, opts ...ExecutorOption) *Executor {
	e := &Executor{
		submitter: submitter, platform: platform, directory: directory, events: events, dataCentre: dataCentre,
		failBound: defaultFailBound, lostBound: defaultLostBound,
		downSince: map[string]time.Time{}, lostSince: map[string]time.Time{},
	}
	for _, apply := range opts {
		apply(e)
	}
	return e
}

// Step does what is due, if this entry host is the one to do it.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	if !e.directory.Owns("executor") {
		return
	}
	s := e.submitter.State()
	for _, name := range e.localHosts(s) {
		if record := e.hostStep(ctx, s, s.Hosts[name], now); record != nil {
			e.submit(ctx, record)
		}
	}
	e.giveBack(ctx)
	e.watchDataCentres(ctx, s, now)
}

// localHosts lists the data centre's hosts; it is made anew when the document changes.
func (e *Executor) localHosts(s *state.State) []string {
	if e.listedFor == s.Document {
		return e.local
	}
	e.listedFor = s.Document
	e.local = nil
	for _, name := range s.HostNames() {
		if s.Document.Hosts[name].DataCentre == e.dataCentre {
			e.local = append(e.local, name)
		}
	}
	return e.local
}

// hostStep is the record that takes a host further, nil if it must wait.
func (e *Executor) hostStep(ctx context.Context, s *state.State, h state.Host, now time.Time) *wire.Record {
	if record := e.watchHost(h, now); record != nil {
		return record
	}
	action := &wire.HostAction{Host: h.Name, Since: h.Since}
	switch {
	case h.Phase == state.Drained && h.Then == state.Reboot:
		return &wire.Record{Body: &wire.Record_Reboot{Reboot: action}}
	case h.Phase == state.Drained && (h.Then == state.Move || h.Then == state.Lend):
		return &wire.Record{Body: &wire.Record_Release{Release: &wire.Release{Host: h.Name, ToPool: h.ToPool}}}
	case h.Phase == state.Released && s.Confirmed(h.Name):
		return &wire.Record{Body: &wire.Record_Attach{Attach: action}}
	case h.Phase == state.Rebooting && e.rebooted(ctx, h):
		return &wire.Record{Body: &wire.Record_ReturnHost{ReturnHost: action}}
	}
	return nil
}

// rebooted asks the platform for the reboot that the log grants, and tells
// whether it is over. The operation's id makes asking again harmless.
func (e *Executor) rebooted(ctx context.Context, h state.Host) bool {
	operation := fmt.Sprintf("%s@%d", h.Name, h.Since)
	status, err := e.platform.Host(ctx, h.Name)
	if err != nil {
		return false
	}
	if status.Operation == operation {
		return status.Finished
	}
	if e.submitter.State().Hosts[h.Name].Since != h.Since {
		return false
	}
	if err := e.platform.Reboot(ctx, h.Name, operation); err != nil {
		e.events.Event("reboot-failed", "host", h.Name, "error", err)
		return false
	}
	e.events.Event("reboot-asked", "host", h.Name, "operation", operation)
	return false
}

// watchHost notes unplanned failures and recoveries that the live list shows.
func (e *Executor) watchHost(h state.Host, now time.Time) *wire.Record {
	seen, ok := e.directory.Host(h.Name)
	down := ok && seen.State == platformapi.Down
	if !down {
		delete(e.downSince, h.Name)
	}
	action := &wire.HostAction{Host: h.Name, Since: h.Since}
	switch h.Phase {
	case state.Failed:
		if ok && seen.State == platformapi.Live {
			return &wire.Record{Body: &wire.Record_Recover{Recover: action}}
		}
	case state.InService, state.Draining:
		if !down {
			return nil
		}
		since, known := e.downSince[h.Name]
		if !known {
			e.downSince[h.Name] = now
			return nil
		}
		if now.Sub(since) >= e.failBound {
			return &wire.Record{Body: &wire.Record_Fail{Fail: action}}
		}
	}
	return nil
}

// giveBack ends drains that have not emptied their host when failures have
// taken the pool's budget, the newest first.
func (e *Executor) giveBack(ctx context.Context) {
	s := e.submitter.State()
	for pool, availability := range s.Availabilities() {
		if availability.Breach(s.Document.Pools[pool].Budget) == "" {
			continue
		}
		h, ok := newestDrain(s, pool)
		if !ok || s.Document.Hosts[h.Name].DataCentre != e.dataCentre {
			continue
		}
		e.events.Event("drain-given-back", "host", h.Name, "pool", pool)
		e.submit(ctx, &wire.Record{
			Reason: "failures took the pool's budget",
			Body:   &wire.Record_ReturnHost{ReturnHost: &wire.HostAction{Host: h.Name, Since: h.Since}},
		})
	}
}

func newestDrain(s *state.State, pool string) (state.Host, bool) {
	var newest state.Host
	for _, h := range s.Hosts {
		if h.Pool == pool && h.Phase == state.Draining && h.Since >= newest.Since {
			newest = h
		}
	}
	return newest, newest.Name != ""
}

// watchDataCentres notes other data centres that have no live entry host.
func (e *Executor) watchDataCentres(ctx context.Context, s *state.State, now time.Time) {
	for _, name := range s.DataCentreNames() {
		if name == e.dataCentre {
			continue
		}
		silent := len(e.directory.EntryHosts(name)) == 0
		if !silent {
			delete(e.lostSince, name)
		}
		since, known := e.lostSince[name]
		if silent && !known {
			e.lostSince[name] = now
			continue
		}
		lost := silent && now.Sub(since) >= e.lostBound
		if lost == s.DataCentres[name].Lost || silent && !lost {
			continue
		}
		e.submit(ctx, &wire.Record{Body: &wire.Record_Contact{Contact: &wire.Contact{DataCentre: name, Lost: lost}}})
	}
}

func (e *Executor) submit(ctx context.Context, record *wire.Record) {
	outcome, err := e.submitter.Submit(ctx, record)
	switch {
	case err != nil:
		e.events.Event("step-unconfirmed", "id", record.GetId(), "error", err)
	case !outcome.Accepted:
		e.events.Event("step-refused", "id", record.GetId(), "message", outcome.Message)
	}
}
