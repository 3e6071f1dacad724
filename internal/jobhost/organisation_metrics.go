package jobhost

import (
	"cmp"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
)

// maxOrganisationMetrics bounds the organisations that the metrics name.
const maxOrganisationMetrics = 20

// otherOrganisations is the name under which the metrics add up the other organisations.
const otherOrganisations = "others"

// OrganisationMetrics is what an organisation uses in the pools of this entry host.
type OrganisationMetrics struct {
	Organisation string `json:"organisation"`
	// Used and Part are sums over these pools, in fractions of the quota, and not given for the sum of
	// several organisations.
	Used     float64 `json:"used,omitempty"`
	Part     float64 `json:"part,omitempty"`
	CPU      int64   `json:"cpu"`
	MemoryMB int64   `json:"memory-mb"`
	Waiting  int     `json:"waiting-for-quota"`
	// Pools has a row for each pool in which the organisation runs or waits.
	Pools map[string]OrganisationMetrics `json:"pools,omitempty"`
}

// organisationMetrics returns the organisations that use the largest fractions of their quotas, and
// the sum of the others.
func (h *JobHost) organisationMetrics() []OrganisationMetrics {
	now, byName := h.now(), map[string]*OrganisationMetrics{}
	for _, p := range h.ownedPartitions() {
		for _, r := range p.runners() {
			for _, o := range r.pool.Organisations(now) {
				if o.Used > 0 || o.Waiting > 0 {
					addOrganisation(byName, r.pool.Name(), o)
				}
			}
		}
	}
	return largestOrganisations(byName)
}

func addOrganisation(byName map[string]*OrganisationMetrics, pool string, o schedule.OrganisationDump) {
	m, ok := byName[o.Name]
	if !ok {
		m = &OrganisationMetrics{Organisation: o.Name, Pools: map[string]OrganisationMetrics{}}
		byName[o.Name] = m
	}
	row := OrganisationMetrics{Organisation: o.Name, Used: o.Used, Part: o.Part, CPU: o.Running.CPU, MemoryMB: o.Running.MemoryMB, Waiting: o.Waiting}
	m.Pools[pool] = row
	m.add(&row)
	m.Used, m.Part = m.Used+row.Used, m.Part+row.Part
}

func (m *OrganisationMetrics) add(o *OrganisationMetrics) {
	m.CPU, m.MemoryMB, m.Waiting = m.CPU+o.CPU, m.MemoryMB+o.MemoryMB, m.Waiting+o.Waiting
}

func largestOrganisations(byName map[string]*OrganisationMetrics) []OrganisationMetrics {
	rows := make([]OrganisationMetrics, 0, len(byName))
	for _, m := range byName {
		rows = append(rows, *m)
	}
	slices.SortFunc(rows, func(a, b OrganisationMetrics) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Organisation, b.Organisation))
	})
	if len(rows) <= maxOrganisationMetrics {
		return rows
	}
	others := OrganisationMetrics{Organisation: otherOrganisations}
	for n := range rows[maxOrganisationMetrics:] {
		others.add(&rows[maxOrganisationMetrics+n])
	}
	return append(rows[:maxOrganisationMetrics:maxOrganisationMetrics], others)
}

// shareMetrics returns the shares of the pools, added up by organisation.
func (h *JobHost) shareMetrics() []schedule.ShareDump {
	var pools [][]schedule.ShareDump
	for _, p := range h.ownedPartitions() {
		for _, r := range p.runners() {
			if shares := r.pool.Shares(); len(shares) > 0 {
				pools = append(pools, shares)
			}
		}
	}
	return schedule.MergeShares(pools, maxOrganisationMetrics, otherOrganisations)
}
