package cmd

import "net/url"

// returnCmd is `hornbeammast return HOST [--reason TEXT]`.
type returnCmd struct {
	remote

	Host   string `arg:"" help:"Host to return to service."`
	Reason string `help:"Why; kept in the log."`
}

// Run asks for the return.
func (r *returnCmd) Run(c *console) error {
	return r.change(c, "/hosts/"+url.PathEscape(r.Host)+"/return", url.Values{"reason": {r.Reason}}, nil)
}
