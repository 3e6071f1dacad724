package maintenance

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Week is one week of the calendar.
type Week struct {
	Begins time.Time `json:"begins"`
	// Hosts lists the hosts of the data centre that must be maintained before the week ends.
	Hosts []string `json:"hosts"`
}

// Calendar lists, for each of the coming weeks, the hosts of a data centre whose
// maintenance interval ends in it. Overdue hosts are listed in the first week.
func Calendar(s *state.State, dataCentre string, now time.Time, weeks int) []Week {
	const week = 7 * 24 * time.Hour
	interval := s.Document.Maintenance.Interval.Std()
	calendar := make([]Week, weeks)
	for n := range calendar {
		calendar[n] = Week{Begins: now.Add(time.Duration(n) * week), Hosts: []string{}}
	}
	for _, name := range s.HostNames() {
		if s.Document.Hosts[name].DataCentre != dataCentre || interval == 0 {
			continue
		}
		n := int(max(s.Hosts[name].MaintainedAt.Add(interval).Sub(now), 0) / week)
		if n < weeks {
			calendar[n].Hosts = append(calendar[n].Hosts, name)
		}
	}
	return calendar
}

// PlanWithCalendar is a maintenance plan with its calendar, as shown to operators.
type PlanWithCalendar struct {
	Plan

	// PlannedBy is the entry host that executes the plan.
	PlannedBy string `json:"planned-by"`
	Calendar  []Week `json:"calendar,omitempty"`
}
