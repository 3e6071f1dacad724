package cmd

import "net/url"

// moveCmd is `hornbeammast move HOST --to POOL [--dry-run] [--reason TEXT]`.
type moveCmd struct {
	remote

	Host   string `arg:"" help:"Host to move."`
	To     string `help:"Pool to move it to." required:""`
	DryRun bool   `help:"Only tell what the fold would say."`
	Reason string `help:"Why; kept in the log."`
}

// Run asks for the move: the host is drained, released and then attached.
func (m *moveCmd) Run(c *console) error {
	query := url.Values{"to": {m.To}, "reason": {m.Reason}}
	if m.DryRun {
		query.Set("dry-run", "true")
	}
	return m.change(c, "/hosts/"+url.PathEscape(m.Host)+"/move", query, nil)
}
