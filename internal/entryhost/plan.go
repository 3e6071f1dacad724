package entryhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
)

// planInterval is how often the data centre's planner looks at the state.
const planInterval = 5 * time.Second

// plannerKey picks the entry host that plans for its data centre.
const plannerKey = "planner"

// carryOut submits what the planner proposes, if this entry host is the one to plan.
func (e *EntryHost) carryOut(ctx context.Context) {
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

// demand estimates the slots asked for by pool: what runs and waits here,
// times the entry hosts, among which the balancer spreads callers evenly.
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

// Plan tells what the planner would do now, and why.
func (o operatorHandler) Plan(weeks int) any {
	const longest = 52
	s := o.e.follower.State()
	dc, now := o.e.settings.DataCentre, time.Now()
	return maintenance.Outlook{
		Plan:      maintenance.PlanFor(s, dc, o.e.demand(), now),
		PlannedBy: o.e.directory.Owner(plannerKey, dc),
		Calendar:  maintenance.Calendar(s, dc, now, min(max(weeks, 0), longest)),
	}
}
