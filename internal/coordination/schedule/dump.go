package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// PoolDump is the state of a pool as operators see it.
type PoolDump struct {
	Pool   string            `json:"pool"`
	Token  int64             `json:"fence"`
	Fenced bool              `json:"fenced"`
	Jobs   map[job.State]int `json:"jobs"`
	Hosts  []HostDump        `json:"hosts"`
	// Organisations are those with a quota, by name.
	Organisations []OrganisationDump `json:"organisations,omitempty"`
	// Interference is nil unless it is sampled.
	Interference *InterferenceDump `json:"interference,omitempty"`
	// Shares is empty if the configuration has no organisations.
	Shares []ShareDump `json:"shares,omitempty"`
}

// HostDump is the known state of a host, with the time since the host last answered.
type HostDump struct {
	ID        worker.ID `json:"id"`
	Rack      string    `json:"rack"`
	Listed    bool      `json:"listed"`
	Confirmed bool      `json:"confirmed"`
	Draining  bool      `json:"draining"`
	Use       string    `json:"use"`
	Heard     string    `json:"heard-age"`
	Runs      int       `json:"runs"`
	Unsent    int       `json:"unsent"`
	InFlight  int       `json:"starts-in-flight"`
	FreeCPU   int64     `json:"free-cpu"`
	FreeMB    int64     `json:"free-memory-mb"`
}

// Dump returns the pool's state for operators.
func (p *Pool) Dump(now time.Time) PoolDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := PoolDump{Pool: p.name, Token: int64(p.token), Fenced: p.fenced, Jobs: map[job.State]int{}, Shares: p.shareDumps()}
	for _, e := range p.jobs {
		d.Jobs[e.visibleState()]++
	}
	for id, h := range p.hosts {
		free := h.free()
		d.Hosts = append(d.Hosts, HostDump{
			ID: id, Rack: h.report.Rack, Listed: h.listed, Confirmed: h.confirmed, Draining: h.report.Draining, Use: h.use.String(),
			Heard: now.Sub(h.heardAt).Round(time.Millisecond).String(), Runs: len(h.runs), Unsent: h.unsentRuns(), InFlight: h.startsInFlight,
			FreeCPU: free.CPU, FreeMB: free.MemoryMB,
		})
	}
	d.Organisations = p.dumpOrganisations(now)
	d.Interference = p.neighbours.dump(now)
	slices.SortFunc(d.Hosts, func(a, b HostDump) int { return cmp.Compare(a.ID, b.ID) })
	return d
}
