// Package maintenance plans which hosts are drained, rebooted, moved or lent next and
// takes them through these steps.
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

// Platform reboots hosts and reports the status of their reboots.
type Platform interface {
	Reboot(ctx context.Context, host, operation string) error
	HostStatus(ctx context.Context, host string) (platformapi.HostStatus, error)
}

// LiveList gives access to the live list.
type LiveList interface {
	Owns(key string) bool
	Host(name string) (platformapi.Host, bool)
	EntryHosts(dataCentre string) []platformapi.EntryHost
	RefreshedAt() time.Time
}

// Events writes events to the event log.
type Events interface {
	Event(name string, pairs ...any)
}

// The default durations for which a host must be down to count as failed, and a data
// centre unresponsive to count as lost.
const (
	defaultFailBound = 5 * time.Second
	defaultLostBound = 15 * time.Second
)

// Executor submits the record of the next step for each host of its data centre. The fold
// refuses steps that no longer apply, so two executors may safely run at once.
type Executor struct {
	submitter  Submitter
	platform   Platform
	liveList   LiveList
	events     Events
	dataCentre string

	failBound time.Duration
	lostBound time.Duration
	// downSince is when each host was first seen down, lostSince when each data centre
	// was first seen without a live entry host.
	downSince map[string]time.Time
	lostSince map[string]time.Time

	// localNames caches the names of the data centre's hosts in localDocument.
	localDocument *fleet.Document
	localNames    []string
}

// ExecutorOption configures an Executor.
type ExecutorOption func(*Executor)

// WithFailBound sets how long a host must be down before it counts as failed.
func WithFailBound(d time.Duration) ExecutorOption { return func(e *Executor) { e.failBound = d } }

// WithLostBound sets how long a data centre must be unresponsive before it counts as lost.
func WithLostBound(d time.Duration) ExecutorOption { return func(e *Executor) { e.lostBound = d } }

// NewExecutor creates the executor of an entry host in a data centre.
func NewExecutor(submitter Submitter, platform Platform, liveList LiveList, events Events, dataCentre string, opts ...ExecutorOption) *Executor {
	e := &Executor{
		submitter: submitter, platform: platform, liveList: liveList, events: events, dataCentre: dataCentre,
		failBound: defaultFailBound, lostBound: defaultLostBound,
		downSince: map[string]time.Time{}, lostSince: map[string]time.Time{},
	}
	for _, apply := range opts {
		apply(e)
	}
	return e
}

// Step submits the records that are due if this entry host owns the executor role, and
// does nothing otherwise.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	if !e.liveList.Owns("executor") {
		return
	}
	s := e.submitter.State()
	for _, name := range e.localHosts(s) {
		if record := e.nextRecord(ctx, s, s.Hosts[name], now); record != nil {
			e.submit(ctx, record)
		}
	}
	e.cancelNewestDrains(ctx)
	e.watchDataCentres(ctx, s, now)
}

// localHosts lists the data centre's hosts. The list is rebuilt when the document changes.
func (e *Executor) localHosts(s *state.State) []string {
	if e.localDocument == s.Document {
		return e.localNames
	}
	e.localDocument = s.Document
	e.localNames = nil
	for _, name := range s.HostNames() {
		if s.Document.Hosts[name].DataCentre == e.dataCentre {
			e.localNames = append(e.localNames, name)
		}
	}
	return e.localNames
}

// nextRecord returns the record that takes a host to its next phase, or nil if the host
// must wait.
func (e *Executor) nextRecord(ctx context.Context, s *state.State, h state.Host, now time.Time) *wire.Record {
	if record := e.watchHost(h, now); record != nil {
		return record
	}
	action := &wire.HostAction{Host: h.Name, Since: h.Since}
	switch {
	case h.Phase == state.Drained && h.Purpose == state.Reboot:
		return &wire.Record{Body: &wire.Record_Reboot{Reboot: action}}
	case h.Phase == state.Drained && (h.Purpose == state.Move || h.Purpose == state.Lend):
		return &wire.Record{Body: &wire.Record_Release{Release: &wire.Release{Host: h.Name, ToPool: h.ToPool}}}
	case h.Phase == state.Released && s.Confirmed(h.Name):
		return &wire.Record{Body: &wire.Record_Attach{Attach: action}}
	case h.Phase == state.Rebooting && e.ensureRebooted(ctx, h):
		return &wire.Record{Body: &wire.Record_ReturnHost{ReturnHost: action}}
	}
	return nil
}

// ensureRebooted asks the platform for the reboot that the log has granted and reports
// whether it has finished. Requests are idempotent by the id of the operation.
func (e *Executor) ensureRebooted(ctx context.Context, h state.Host) bool {
	operation := fmt.Sprintf("%s@%d", h.Name, h.Since)
	status, err := e.platform.HostStatus(ctx, h.Name)
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

// watchHost returns the record of an unplanned failure or of a recovery that the live list
// shows, or nil if there is none.
func (e *Executor) watchHost(h state.Host, now time.Time) *wire.Record {
	seen, ok := e.liveList.Host(h.Name)
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

// cancelNewestDrains cancels the newest unfinished drain in each pool whose budget is
// exceeded because of failures.
func (e *Executor) cancelNewestDrains(ctx context.Context) {
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

// newestDrain returns the host of a pool whose drain began last.
func newestDrain(s *state.State, pool string) (state.Host, bool) {
	var newest state.Host
	for _, h := range s.Hosts {
		if h.Pool == pool && h.Phase == state.Draining && h.Since >= newest.Since {
			newest = h
		}
	}
	return newest, newest.Name != ""
}

// watchDataCentres submits records when another data centre has had no live entry host for
// lostBound, and when it has one again.
func (e *Executor) watchDataCentres(ctx context.Context, s *state.State, now time.Time) {
	for _, name := range s.DataCentreNames() {
		if name == e.dataCentre {
			continue
		}
		unresponsive := len(e.liveList.EntryHosts(name)) == 0
		if !unresponsive {
			delete(e.lostSince, name)
		}
		since, known := e.lostSince[name]
		if unresponsive && !known {
			e.lostSince[name] = now
			continue
		}
		lost := unresponsive && now.Sub(since) >= e.lostBound
		if lost == s.DataCentres[name].Lost || unresponsive && !lost {
			continue
		}
		e.submit(ctx, &wire.Record{Body: &wire.Record_Contact{Contact: &wire.Contact{DataCentre: name, Lost: lost}}})
	}
}

// submit submits a record and logs an event unless it was accepted.
func (e *Executor) submit(ctx context.Context, record *wire.Record) {
	outcome, err := e.submitter.Submit(ctx, record)
	switch {
	case err != nil:
		e.events.Event("step-unconfirmed", "id", record.GetId(), "error", err)
	case !outcome.Accepted:
		e.events.Event("step-refused", "id", record.GetId(), "message", outcome.Message)
	}
}
