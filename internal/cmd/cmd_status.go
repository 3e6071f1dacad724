package cmd

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
)

// statusCmd is `hornbeammast status`.
type statusCmd struct {
	remote
}

// Run prints the state of the fleet.
func (s *statusCmd) Run(c *console) error {
	if s.Output == "json" {
		return s.show(c, "/status", nil)
	}
	var status operatorapi.Status
	if err := s.get("/status", nil, &status); err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "entry host\t%s in %s\n", status.EntryHost, status.DataCentre)
	_, _ = fmt.Fprintf(w, "version\t%d at position %d\n", status.Version, status.Position)
	_, _ = fmt.Fprintf(w, "log\t%s\n", choose(status.InContact, "in contact", "cut off"))
	_, _ = fmt.Fprintf(w, "requests\t%s\n", choose(status.Refusing == "", "served", "refused: "+status.Refusing))
	if status.Restoring {
		_, _ = fmt.Fprintln(w, "restoring\tthe log lost records; changes are refused until the restore ends")
	}
	printPools(w, status.Pools)
	printHosts(w, status.Hosts)
	printDataCentres(w, status.DataCentres)
	return w.Flush()
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func printPools(w *tabwriter.Writer, pools []operatorapi.Pool) {
	_, _ = fmt.Fprintln(w, "\nPOOL\tMEMBERS\tAVAILABLE\tSLOTS\tMAY LOSE\tBUDGET")
	for _, p := range pools {
		budget := "holds"
		if p.Breach != "" {
			budget = p.Breach
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", p.Name, p.Members, p.Available, p.Slots, p.MayStillLose, budget)
	}
}

func printHosts(w *tabwriter.Writer, hosts []operatorapi.Host) {
	_, _ = fmt.Fprintln(w, "\nHOST\tPOOL\tPLACE\tPHASE\tTHEN\tMAINTAINED\tWAITS FOR")
	for _, h := range hosts {
		then := h.Then
		if h.ToPool != "" {
			then = "move to " + h.ToPool
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s/%s\t%s\t%s\t%s\t%s\n", h.Name, orDash(h.Pool), h.DataCentre, h.Rack, h.Phase, orDash(then),
			h.Maintained.Format("2006-01-02"), orDash(strings.Join(h.WaitsFor, " ")))
	}
}

func printDataCentres(w *tabwriter.Writer, rows []operatorapi.DataCentre) {
	_, _ = fmt.Fprintln(w, "\nDATA CENTRE\tENTRY HOSTS\tCONTACT\tMAINTENANCE")
	for _, d := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Name, orDash(strings.Join(d.Members, " ")),
			choose(d.Lost, "lost", "ok"), choose(d.Halted, "halted", "runs"))
	}
}

func orDash(text string) string {
	return choose(text == "", "-", text)
}
