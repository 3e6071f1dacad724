package jobhost

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
)

// Dump is the internal state of an entry host, for operators.
type Dump struct {
	Name          string                    `json:"name"`
	DataCentre    string                    `json:"data-centre"`
	Member        string                    `json:"member"`
	ConfigVersion int64                     `json:"config-version"`
	ConfirmedAge  string                    `json:"confirmed-age"`
	Draining      bool                      `json:"draining"`
	Candidacy     CandidacyDump             `json:"candidacy"`
	Partitions    []PartitionDump           `json:"partitions"`
	Pools         []schedule.PoolDump       `json:"pools"`
	Latencies     map[string]LatencySummary `json:"latencies"`
}

// CandidacyDump says whether the entry host stands for the ownership of partitions.
type CandidacyDump struct {
	Stands   bool             `json:"stands"`
	Reason   candidacy.Reason `json:"reason"`
	CPU      int64            `json:"cpu-millicores"`
	LinkMbps int64            `json:"link-mbps"`
}

// PartitionDump is the state of one tenure of a partition.
type PartitionDump struct {
	Partition int   `json:"partition"`
	Token     int64 `json:"token"`
	Loaded    bool  `json:"loaded"`
	Offset    int64 `json:"offset"`
}

// Metrics returns the latencies, readiness, configuration version with the time since it was last known to be
// the newest, and the largest organisations of the
// pools that the entry host owns.
func (h *JobHost) Metrics() map[string]any {
	stands, _ := h.candidacy.stands()
	m := map[string]any{"latencies": h.metrics.summaries(), "ready": h.Ready(), "stands": stands, "partitions": len(h.ownedPartitions())}
	if config := h.config(); config != nil {
		m["config-version"] = config.Version
	}
	if at := h.ConfirmedAt(); !at.IsZero() {
		m["config-confirmed-age-ms"] = h.now().Sub(at).Milliseconds()
	}
	if rows := h.organisationMetrics(); len(rows) > 0 {
		m["organisations"] = rows
	}
	if counters, ok := h.interferenceCounters(); ok {
		m["interference"] = counters
	}
	if shares := h.shareMetrics(); len(shares) > 0 {
		m["shares"] = shares
	}
	return m
}

// interferenceCounters returns the sums over the pools; ok is false unless any samples interference.
func (h *JobHost) interferenceCounters() (sum schedule.InterferenceCounters, ok bool) {
	for _, p := range h.ownedPartitions() {
		for _, r := range p.runners() {
			if counters, sampled := r.pool.InterferenceCounters(); sampled {
				sum, ok = sum.Plus(counters), true
			}
		}
	}
	return sum, ok
}

// Dump returns the current state.
func (h *JobHost) Dump() Dump {
	now := h.now()
	d := Dump{
		Name: h.settings.Name, DataCentre: h.settings.DataCentre, Member: h.directory.member, Draining: h.draining.Load(),
		ConfirmedAge: now.Sub(h.keeper.Confirmed()).Round(time.Millisecond).String(), Latencies: h.metrics.summaries(),
	}
	stands, reason := h.candidacy.stands()
	d.Candidacy = CandidacyDump{stands, reason, h.settings.Resources.CPU, h.settings.Resources.LinkMbps}
	if config := h.config(); config != nil {
		d.ConfigVersion = config.Version
	}
	for _, p := range h.ownedPartitions() {
		d.Partitions = append(d.Partitions, PartitionDump{p.id.Number, p.token, p.loaded.Load(), p.follower.position.Load()})
		for _, r := range p.runners() {
			d.Pools = append(d.Pools, r.pool.Dump(now))
		}
	}
	return d
}

func (h *JobHost) ownedPartitions() []*partition {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := make([]*partition, 0, len(h.partitions))
	for _, p := range h.partitions {
		held = append(held, p)
	}
	return held
}

func (p *partition) runners() []*poolRunner {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*poolRunner, 0, len(p.pools))
	for _, r := range p.pools {
		all = append(all, r)
	}
	return all
}
