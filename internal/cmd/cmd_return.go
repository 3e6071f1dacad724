package cmd

import "net/url"

// returnCmd is `hornbeammast return HOST [--reason TEXT]`.
type returnCmd struct {
	remote

	Host   string `arg:"" help:"Host to return to service."`
	Reason string `help:"Reason for the change, stored in the log."`
}

// Run requests that the host returns to service.
func (r *returnCmd) Run(c *console) error {
	return r.change(c, "/hosts/"+url.PathEscape(r.Host)+"/return", url.Values{"reason": {r.Reason}}, nil)
}
