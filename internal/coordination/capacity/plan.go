package capacity

// Need is what a plan found for one pool.
type Need struct {
	Pool          string
	Need, Serving int
	WantedCPU     int64
}

// Plan gives the actions to take now, and what each pool needs and has.
func (p *Planner) Plan(view View) ([]Action, []Need) {
	plans := p.pools(view)
	var needs []Need
	for _, plan := range plans {
		if plan.Load != nil {
			needs = append(needs, Need{plan.Name, plan.need, plan.serving(), plan.Load.Wanted.CPU})
		}
	}
	var actions []Action
	actions = append(actions, p.waves(view, plans)...)
	taken := map[string]bool{}
	for _, a := range actions {
		taken[a.Machine] = true
	}
	return append(actions, p.moves(view, plans, taken)...), needs
}
