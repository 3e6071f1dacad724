package cmd

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
)

// planCmd is `hornbeammast plan [--weeks N]`.
type planCmd struct {
	remote

	Weeks int `help:"Also show the maintenance calendar of this many weeks."`
}

// Run prints the next actions of the maintenance planner of the entry host's data centre.
func (p *planCmd) Run(c *console) error {
	query := url.Values{"weeks": {strconv.Itoa(p.Weeks)}}
	if p.Output == "json" {
		return p.show(c, "/plan", query)
	}
	var plan maintenance.PlanWithCalendar
	if err := p.get("/plan", query, &plan); err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "data centre\t%s, planned by %s\n", plan.DataCentre, orDash(plan.PlannedBy))
	_, _ = fmt.Fprintf(w, "hosts\t%d due, %d overdue\n", plan.Due, plan.Overdue)
	if !plan.NextWave.IsZero() {
		_, _ = fmt.Fprintf(w, "next wave\t%s\n", plan.NextWave.Format("2006-01-02 15:04"))
	}
	_, _ = fmt.Fprintln(w, "\nNEXT\tHOST\tTO POOL\tBECAUSE")
	for _, s := range plan.Proposals {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Action, orDash(s.Host), orDash(s.ToPool), s.Reason)
	}
	_, _ = fmt.Fprintln(w, "\nWAITS\tHOST\tFOR")
	for _, s := range plan.Waits {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", orDash(s.Pool), orDash(s.Host), s.Reason)
	}
	for n, week := range plan.Calendar {
		if n == 0 {
			_, _ = fmt.Fprintln(w, "\nWEEK FROM\tHOSTS\tTO BE MAINTAINED IN IT AT THE LATEST")
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", week.Begins.Format("2006-01-02"), len(week.Hosts), orDash(strings.Join(week.Hosts, " ")))
	}
	return w.Flush()
}
