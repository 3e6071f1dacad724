package schedule

import (
	"cmp"
	"slices"
	"time"
)

// shareWaitsInterval is how often it is logged that an organisation waits for its share.
const shareWaitsInterval = time.Second

// ShareDump is what an organisation uses of a pool and what it waits for. Jobs without an organisation
// are under the empty name.
type ShareDump struct {
	Organisation string  `json:"organisation"`
	Weight       float64 `json:"weight"`
	// Share is the dominant share of the pool, as of the last plan.
	Share    float64 `json:"share"`
	UsedCPU  int64   `json:"used-cpu"`
	UsedMB   int64   `json:"used-memory-mb"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Excess   int     `json:"excess"`
	Rejected int64   `json:"rejected"`
	// TooLate counts the jobs that were accepted and ended after their result had lost its value.
	TooLate int64 `json:"too-late"`
}

// Shares returns the shares of the organisations with jobs in the pool, by name; none if the
// configuration has no organisations.
func (p *Pool) Shares() []ShareDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shareDumps()
}

func (p *Pool) shareDumps() []ShareDump {
	if p.shares == nil {
		return nil
	}
	found := make(map[*fairShare]*ShareDump, len(p.shares.all))
	for name, f := range p.shares.all {
		found[f] = &ShareDump{
			Organisation: name, Weight: f.weight, Share: f.level * f.weight, UsedCPU: f.used.CPU, UsedMB: f.used.MemoryMB,
			Rejected: f.rejected, TooLate: f.tooLate,
		}
	}
	for _, e := range p.openJobs() {
		d := found[e.share]
		if e.begun {
			d.Running++
			continue
		}
		d.Waiting++
		if e.excess {
			d.Excess++
		}
	}
	dumps := make([]ShareDump, 0, len(found))
	for _, d := range found {
		dumps = append(dumps, *d)
	}
	slices.SortFunc(dumps, func(a, b ShareDump) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return dumps
}

// reportWaiting logs the organisations whose tasks wait for room while another one's were placed.
func (s *fairShares) reportWaiting(p *Pool, now time.Time) {
	if s.served == nil {
		return
	}
	for _, f := range s.all {
		if !f.noRoom || f == s.served || now.Sub(f.waitsAt) < shareWaitsInterval {
			continue
		}
		f.waitsAt = now
		p.events.Event("share-waits", "job", f.waiting, "organisation", f.organisation, "pool", p.name, "weight", f.weight, "level", f.level,
			"used-cpu", f.used.CPU, "used-memory-mb", f.used.MemoryMB, "served", s.served.organisation, "served-weight", s.served.weight,
			"served-level", s.served.level, "capacity-cpu", s.capacity.CPU, "age", time.Duration(0))
	}
}

// MergeShares adds up the shares of several pools and returns those of the organisations that use and
// wait for most, at most limit of them, and the sum of the others under the name others.
func MergeShares(pools [][]ShareDump, limit int, others string) []ShareDump {
	sums := map[string]*ShareDump{}
	for _, pool := range pools {
		for _, d := range pool {
			if sums[d.Organisation] == nil {
				sums[d.Organisation] = &ShareDump{Organisation: d.Organisation, Weight: d.Weight}
			}
			sums[d.Organisation].add(d)
		}
	}
	all := make([]ShareDump, 0, len(sums))
	for _, d := range sums {
		all = append(all, *d)
	}
	size := func(d ShareDump) int { return d.Running + d.Waiting }
	slices.SortFunc(all, func(a, b ShareDump) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(b.UsedCPU, a.UsedCPU), cmp.Compare(a.Organisation, b.Organisation))
	})
	if len(all) <= limit {
		return all
	}
	rest := ShareDump{Organisation: others}
	for _, d := range all[limit:] {
		rest.Weight += d.Weight
		rest.add(d)
	}
	return append(all[:limit], rest)
}

func (d *ShareDump) add(o ShareDump) {
	d.Share += o.Share
	d.UsedCPU, d.UsedMB = d.UsedCPU+o.UsedCPU, d.UsedMB+o.UsedMB
	d.Running, d.Waiting, d.Excess = d.Running+o.Running, d.Waiting+o.Waiting, d.Excess+o.Excess
	d.Rejected, d.TooLate = d.Rejected+o.Rejected, d.TooLate+o.TooLate
}
