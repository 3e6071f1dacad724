package cmd

import "net/url"

// drainCmd is `hornbeammast drain HOST [--reboot] [--dry-run] [--reason TEXT]`.
type drainCmd struct {
	remote

	Host   string `arg:"" help:"Host to drain."`
	Reboot bool   `help:"Reboot the host once it is drained, then return it to service."`
	DryRun bool   `help:"Only report whether the change would be accepted."`
	Reason string `help:"Reason for the change, stored in the log."`
}

// Run requests the drain.
func (d *drainCmd) Run(c *console) error {
	query := url.Values{"then": {choose(d.Reboot, "reboot", "hold")}, "reason": {d.Reason}}
	if d.DryRun {
		query.Set("dry-run", "true")
	}
	return d.change(c, "/hosts/"+url.PathEscape(d.Host)+"/drain", query, nil)
}
