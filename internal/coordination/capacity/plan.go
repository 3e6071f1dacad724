package capacity

// Need holds how many machines a pool needs and has, and its demand, as found by a plan.
type Need struct {
	Pool          string
	Need, Serving int
	// DemandCPU is the pool's present demand in thousandths of a core.
	DemandCPU int64
}

// Plan returns the actions to take now, and the needs of the pools whose load is known.
func (p *Planner) Plan(view View) ([]Action, []Need) {
	plans := p.planPools(view)
	var needs []Need
	for _, plan := range plans {
		if plan.Load != nil {
			needs = append(needs, Need{plan.Name, plan.need, plan.serving(), plan.Load.Demand.CPU})
		}
	}
	var actions []Action
	actions = append(actions, p.planWaves(view, plans)...)
	planned := map[string]bool{}
	for _, a := range actions {
		planned[a.Machine] = true
	}
	return append(actions, p.planMoves(view, plans, planned)...), needs
}
