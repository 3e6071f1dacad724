package cmd

import "net/url"

// moveCmd is `hornbeammast move HOST --to POOL [--dry-run] [--reason TEXT]`.
type moveCmd struct {
	remote

	Host   string `arg:"" help:"Host to move."`
	To     string `help:"Pool to move the host to." required:""`
	DryRun bool   `help:"Only report whether the change would be accepted."`
	Reason string `help:"Reason for the change, stored in the log."`
}

// Run requests the move: the host is drained, released from its pool and attached to the
// new one.
func (m *moveCmd) Run(c *console) error {
	query := url.Values{"to": {m.To}, "reason": {m.Reason}}
	if m.DryRun {
		query.Set("dry-run", "true")
	}
	return m.change(c, "/hosts/"+url.PathEscape(m.Host)+"/move", query, nil)
}
