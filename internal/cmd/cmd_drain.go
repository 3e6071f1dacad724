package cmd

import "net/url"

// drainCmd is `hornbeammast drain HOST [--reboot] [--dry-run] [--reason TEXT]`.
type drainCmd struct {
	remote

	Host   string `arg:"" help:"Host to drain."`
	Reboot bool   `help:"Reboot it once it is drained, and return it."`
	DryRun bool   `help:"Only tell what the fold would say."`
	Reason string `help:"Why; kept in the log."`
}

// Run asks for the drain.
func (d *drainCmd) Run(c *console) error {
	query := url.Values{"then": {choose(d.Reboot, "reboot", "hold")}, "reason": {d.Reason}}
	if d.DryRun {
		query.Set("dry-run", "true")
	}
	return d.change(c, "/hosts/"+url.PathEscape(d.Host)+"/drain", query, nil)
}
