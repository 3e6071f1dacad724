package entryhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
)

// planInterval is the interval between runs of the data centre's planner.
const planInterval = 5 * time.Second

// plannerKey is the key whose owner is the planner of its data centre.
const plannerKey = "planner"

// submitProposals submits the proposals of the planner if this entry host is the
// planner of its data centre.
func (e *EntryHost) submitProposals(ctx context.Context) {
	if !e.follower.Ready() || !e.follower.InContact() || !e.directory.Owns(plannerKey) {
		return
	}
	s := e.follower.State()
	plan := maintenance.PlanFor(s, e.settings.DataCentre, e.demand(), time.Now())
	for _, proposal := range plan.Proposals {
		record := proposal.Record(s, e.settings.DataCentre)
		outcome, err := e.follower.Submit(ctx, record)
		if err != nil {
			e.events.Event("proposal-unconfirmed", "id", record.GetId(), "error", err)
			return
		}
		e.events.Event("proposal", "action", proposal.Action, "host", proposal.Host, "to", proposal.ToPool,
			"reason", proposal.Reason, "accepted", outcome.Accepted, "message", outcome.Message)
	}
}

// demand estimates the demand for slots by pool: the running and queued requests on
// this entry host times the number of entry hosts. The load balancer spreads
// callers evenly among them.
func (e *EntryHost) demand() maintenance.Demand {
	entryHosts := 0
	for _, d := range e.follower.State().DataCentres {
		entryHosts += len(d.Members)
	}
	demand := maintenance.Demand{}
	for pool, rows := range e.dispatcher.QueueStats() {
		for _, row := range rows {
			demand[pool] += float64((row.Running + row.Queued) * entryHosts)
		}
	}
	return demand
}

// Plan returns what the planner would do now, with the reasons, and the calendar of
// the coming weeks.
func (o operatorHandler) Plan(weeks int) any {
	const maxWeeks = 52
	s := o.e.follower.State()
	dc, now := o.e.settings.DataCentre, time.Now()
	return maintenance.PlanWithCalendar{
		Plan:      maintenance.PlanFor(s, dc, o.e.demand(), now),
		PlannedBy: o.e.directory.Owner(plannerKey, dc),
		Calendar:  maintenance.Calendar(s, dc, now, min(max(weeks, 0), maxWeeks)),
	}
}
