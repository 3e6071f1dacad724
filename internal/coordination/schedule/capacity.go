package schedule

import (
	"slices"
	"time"
)

// overcommitted reports whether the runs and the reserved tasks take more than the host's
// capacity, which may have shrunk since they were placed. Runs in progress go on.
func (h *host) overcommitted() bool { return !h.used.Fits(h.report.Capacity) }

// capacityKnown reports whether the host's capacity may be relied on. A host that refuses
// what doesn't fit may be tried in any case.
func (p *Pool) capacityKnown(h *host, now time.Time) bool {
	if p.checksCapacity {
		return true
	}
	return !h.reportOutdated() && !now.Before(h.settledAt) && (p.reports == nil || p.reports.Current(now))
}

// reportOutdated reports whether the host's report is that of an earlier incarnation, whose
// capacity may have been another.
func (h *host) reportOutdated() bool {
	return h.report.Incarnation != 0 && h.report.Incarnation < h.incarnation
}

// settle delays starts on a host that answers after it was unresponsive, if it may have been
// unable to report meanwhile.
func (p *Pool) settle(h *host, now time.Time) {
	if h.confirmed {
		return
	}
	missed := now.Sub(h.heardAt) > p.limits.ReportInterval+reportSlack
	if h.contactedAt.IsZero() {
		// Before, a former owner may have had contact.
		missed = h.failedContact
	}
	if missed {
		h.settledAt = now.Add(p.limits.settleTime())
	}
}

// takes reports whether a placed run may still be started on the host.
func (p *Pool) takes(h *host, now time.Time) bool {
	return p.capacityKnown(h, now) && !h.overcommitted()
}

// dropUnfit drops pending starts on hosts whose capacity has shrunk since the placement
// or is not known any more, the last one first, until the others fit.
func (p *Pool) dropUnfit(pending []*run, now time.Time) {
	for _, r := range slices.Backward(pending) {
		if r.host.runs[r.key()] != r || !r.unsent || p.takes(r.host, now) {
			continue
		}
		p.dropStart(r, now)
	}
}
