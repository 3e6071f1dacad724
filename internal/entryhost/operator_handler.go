package entryhost

import (
	"context"
	"encoding/json"
	"expvar"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// operatorHandler answers the requests of operators.
type operatorHandler struct{ e *EntryHost }

// Submit appends an operator's record and waits for its outcome.
func (o operatorHandler) Submit(ctx context.Context, record *wire.Record) (state.Outcome, error) {
	if closing := record.GetClose(); closing != nil {
		closing.Round = o.e.follower.State().CloseRecord(nil).GetRound()
	}
	return o.e.follower.Submit(ctx, record)
}

// DryRun returns the outcome that a record would have now, without submitting it.
func (o operatorHandler) DryRun(record *wire.Record) (state.Outcome, error) {
	record.Id = uuid.NewString()
	record.Rules = state.RulesVersion
	record.DataCentre = o.e.settings.DataCentre
	record.WrittenUnixMs = time.Now().UnixMilli()
	s := o.e.follower.State()
	_, outcome, err := state.Apply(s, s.Position, record)
	return outcome, err
}

// Config returns a version of the configuration if it is still kept. Version 0 is
// the newest.
func (o operatorHandler) Config(version uint64) (document []byte, configVersion uint64, ok bool) {
	s := o.e.follower.State()
	if version == 0 || version == s.Version {
		return s.ConfigJSON, s.Version, true
	}
	config, ok := o.e.history.find(version)
	return config, version, ok
}

// Record returns the outcome of a record, if the state still has it.
func (o operatorHandler) Record(id string) (state.Outcome, bool) {
	return o.e.follower.State().Outcome(id)
}

// Status returns the state of the fleet as this entry host knows it.
func (o operatorHandler) Status() operatorapi.Status {
	s := o.e.follower.State()
	return operatorapi.Status{
		EntryHost: o.e.settings.Name, DataCentre: o.e.settings.DataCentre,
		Version: s.Version, Position: s.Position, Ready: o.e.follower.Ready(), InContact: o.e.follower.InContact(),
		Refusing: o.e.dispatcher.RefusalReason(), Restoring: s.Restoring,
		Pools: poolRows(s), Hosts: hostRows(s), DataCentres: dataCentreRows(s),
	}
}

func poolRows(s *state.State) []operatorapi.Pool {
	rows := []operatorapi.Pool{}
	for _, name := range slices.Sorted(maps.Keys(s.Document.Pools)) {
		a := s.Availability(name)
		budget := s.Document.Pools[name].Budget
		rows = append(rows, operatorapi.Pool{
			Name: name, Members: a.Members, Available: a.AvailableHosts, Slots: a.Slots,
			MayStillLose: s.DisruptionsAllowed(name), Breach: a.Breach(budget),
		})
	}
	return rows
}

func hostRows(s *state.State) []operatorapi.Host {
	rows := []operatorapi.Host{}
	for _, name := range s.HostNames() {
		h := s.Hosts[name]
		declared := s.Document.Hosts[name]
		row := operatorapi.Host{
			Name: name, Pool: h.Pool, DataCentre: declared.DataCentre, Rack: declared.Rack, Phase: string(h.Phase),
			Then: string(h.Purpose), ToPool: h.ToPool, Since: h.Since, SinceTime: h.SinceTime, Maintained: h.MaintainedAt,
		}
		if h.Phase == state.Draining || h.Phase == state.Released {
			row.WaitsFor = s.Unconfirmed(name)
		}
		rows = append(rows, row)
	}
	return rows
}

func dataCentreRows(s *state.State) []operatorapi.DataCentre {
	rows := []operatorapi.DataCentre{}
	for _, name := range s.DataCentreNames() {
		d := s.DataCentres[name]
		row := operatorapi.DataCentre{Name: name, Members: d.Members, Lost: d.Lost, Halted: d.Halted, Behind: map[string]uint64{}}
		for _, member := range d.Members {
			row.Behind[member] = s.Position - min(d.Positions[member], s.Position)
		}
		rows = append(rows, row)
	}
	return rows
}

// Dump returns the internal tables of this entry host for debugging.
func (o operatorHandler) Dump() any {
	s := o.e.follower.State()
	return map[string]any{
		"status":          o.Status(),
		"incarnation":     o.e.incarnation,
		"began":           o.e.began,
		"live-list":       o.e.directory.EntryHosts(""),
		"live-list-read":  o.e.directory.RefreshedAt(),
		"position-in-use": o.e.table.Position(),
		"sequence":        s.Sequence,
		"hosts":           o.e.table.Stats(),
		"queues":          o.e.dispatcher.QueueStats(),
		"claims":          o.e.claimer.Stats(),
		"held-requests":   o.e.callers.Held(),
		"counters":        o.e.dispatcher.CounterValues(),
	}
}

// Metrics returns the metrics in the JSON format of expvar.
func (o operatorHandler) Metrics() string {
	s := o.e.follower.State()
	metrics := new(expvar.Map)
	for name, value := range o.e.dispatcher.CounterValues() {
		setInt(metrics, "requests-"+name, value)
	}
	setInt(metrics, "config-version", int64(s.Version))   //nolint:gosec // Versions stay far below 2^63.
	setInt(metrics, "config-position", int64(s.Position)) //nolint:gosec // Offsets stay far below 2^63.
	setInt(metrics, "held-requests", int64(o.e.callers.Held()))
	setInt(metrics, "cut-off", boolInt(!o.e.follower.InContact()))
	setInt(metrics, "serving", boolInt(o.e.dispatcher.RefusalReason() == ""))
	all := map[string]json.RawMessage{"hornbeammast": json.RawMessage(metrics.String())}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	text, err := json.Marshal(all)
	if err != nil {
		return "{}"
	}
	return string(text)
}

func setInt(m *expvar.Map, name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.Set(name, v)
}

func boolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
