// Package fleet defines the configuration document that operators patch: pools with
// their budgets, hosts, kinds of work and teams.
package fleet

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Document is the whole configuration of one fleet.
type Document struct {
	Pools       map[string]Pool `json:"pools,omitempty"`
	Hosts       map[string]Host `json:"hosts,omitempty"`
	Kinds       map[string]Kind `json:"kinds,omitempty"`
	Teams       map[string]Team `json:"teams,omitempty"`
	Maintenance Maintenance     `json:"maintenance,omitzero"`
}

// Pool is a named set of hosts with an availability budget.
type Pool struct {
	Budget Budget `json:"budget,omitzero"`
	// Spare marks the pool whose hosts may be lent to others.
	Spare bool `json:"spare,omitempty"`
}

// Budget bounds how much of a pool may be out of service. A zero field sets no bound.
type Budget struct {
	MinAvailableHosts        int `json:"min-available-hosts,omitempty"`
	MinAvailableSlots        int `json:"min-available-slots,omitempty"`
	MinAvailableProcessors   int `json:"min-available-processors,omitempty"`
	MinAvailableMemoryGB     int `json:"min-available-memory-gb,omitempty"`
	MinAvailableAccelerators int `json:"min-available-accelerators,omitempty"`
	MaxUnavailableHosts      int `json:"max-unavailable-hosts,omitempty"`
	// MaxUnavailableRacks bounds the number of racks that have a host out of service.
	MaxUnavailableRacks int `json:"max-unavailable-racks,omitempty"`
}

// Host is one upstream machine.
type Host struct {
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack"`
	Address    netip.AddrPort `json:"address"`
	// Pool is the pool that the host is in. A patch sets it only for a new host; afterwards
	// only a move changes it.
	Pool         string `json:"pool"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections,omitempty"`
	Processors   int    `json:"processors,omitempty"`
	MemoryGB     int    `json:"memory-gb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// Kind is a kind of work with the rules for its placement and admission.
type Kind struct {
	// Pools that may run the work, in order of preference.
	Pools []string `json:"pools"`
	// Guarantee is the share of the pool's slots that the kind always gets, 0 to 1.
	Guarantee float64 `json:"guarantee"`
	// Urgency orders the kinds in the use of slots that others leave free; the highest
	// comes first.
	Urgency int `json:"urgency,omitempty"`
	// MaxQueue bounds the requests that wait at one entry host.
	MaxQueue int `json:"max-queue,omitempty"`
	// MemoryGB and Accelerators are the resources that one request needs on its host.
	MemoryGB     int `json:"memory-gb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// RunTime is the declared run time; it is only a hint.
	RunTime Duration `json:"run-time,omitempty"`
}

// Team is a group of callers with a quota.
type Team struct {
	// Quota is the highest number of slots that the team may use in a kind at one entry
	// host; 0 sets no bound.
	Quota int `json:"quota,omitempty"`
}

// Maintenance configures the planner of maintenance waves.
type Maintenance struct {
	Enabled bool `json:"enabled,omitempty"`
	// Interval is the longest time between two maintenances of a host.
	Interval Duration `json:"interval,omitempty"`
	// BufferWeight, MovesWeight, KeptWeight and RolloutWeight are the weights of the four
	// measures by which the planner scores a plan.
	BufferWeight  float64 `json:"buffer-weight,omitempty"`
	MovesWeight   float64 `json:"moves-weight,omitempty"`
	KeptWeight    float64 `json:"kept-weight,omitempty"`
	RolloutWeight float64 `json:"rollout-weight,omitempty"`
}

// Duration is a time.Duration written as text, such as "90s".
type Duration time.Duration

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "1.4s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("duration %q: write it like 90s or 1h30m", text)
	}
	*d = Duration(parsed)
	return nil
}

// Parse decodes and validates a document; unknown keys are an error. Its error messages
// become refusals in the folded state, which are stored.
func Parse(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var document Document
	if err := decoder.Decode(&document); err != nil {
		return nil, errors.Wrap(err, "configuration document")
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	return &document, nil
}

// Validate returns an error for the first invalid value of the document.
func (d *Document) Validate() error {
	if err := d.validateHosts(); err != nil {
		return err
	}
	if err := d.validateKinds(); err != nil {
		return err
	}
	for _, name := range sortedKeys(d.Teams) {
		if d.Teams[name].Quota < 0 {
			return errors.Newf("team %q: quota must not be negative", name)
		}
	}
	return d.Maintenance.validate()
}

func (d *Document) validateHosts() error {
	addresses := map[netip.AddrPort]string{}
	for _, name := range sortedKeys(d.Hosts) {
		h := d.Hosts[name]
		if h.DataCentre == "" || h.Rack == "" {
			return errors.Newf("host %q: data-centre and rack must be set", name)
		}
		if _, ok := d.Pools[h.Pool]; !ok {
			return errors.Newf("host %q: pool %q is not declared; add it to pools", name, h.Pool)
		}
		if !h.Address.IsValid() {
			return errors.Newf("host %q: address must be an IP and a port", name)
		}
		if other, ok := addresses[h.Address]; ok {
			return errors.Newf("host %q: address %s is that of host %q", name, h.Address, other)
		}
		addresses[h.Address] = name
		if h.Slots < 1 {
			return errors.Newf("host %q: slots must be 1 or more", name)
		}
		if min(h.Connections, h.Processors, h.MemoryGB, h.Accelerators) < 0 {
			return errors.Newf("host %q: sizes must not be negative", name)
		}
	}
	return nil
}

func (d *Document) validateKinds() error {
	guaranteed := map[string]float64{}
	for _, name := range sortedKeys(d.Kinds) {
		k := d.Kinds[name]
		if len(k.Pools) == 0 {
			return errors.Newf("kind %q: name at least one pool", name)
		}
		for _, pool := range k.Pools {
			if _, ok := d.Pools[pool]; !ok {
				return errors.Newf("kind %q: pool %q is not declared; add it to pools", name, pool)
			}
		}
		if k.Guarantee < 0 || k.Guarantee > 1 {
			return errors.Newf("kind %q: guarantee must lie between 0 and 1", name)
		}
		if k.MaxQueue < 0 {
			return errors.Newf("kind %q: max-queue must not be negative", name)
		}
		guaranteed[k.Pools[0]] += k.Guarantee
	}
	for _, pool := range sortedKeys(guaranteed) {
		if guaranteed[pool] > 1+1e-9 {
			return errors.Newf("pool %q: its kinds are guaranteed %.2f of it in sum; lower them to 1 or less", pool, guaranteed[pool])
		}
	}
	return nil
}

func (m Maintenance) validate() error {
	if m.Enabled && m.Interval <= 0 {
		return errors.New("maintenance: interval must be set when enabled")
	}
	if min(m.BufferWeight, m.MovesWeight, m.KeptWeight, m.RolloutWeight) < 0 {
		return errors.New("maintenance: weights must not be negative")
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
