package cmd

import "net/url"

// haltCmd is `hornbeammast halt DATA-CENTRE [--resume] [--reason TEXT]`.
type haltCmd struct {
	remote

	DataCentre string `arg:"" help:"Data centre whose maintenance stops."`
	Resume     bool   `help:"Let it go on again."`
	Reason     string `help:"Why; kept in the log."`
}

// Run stops or resumes the maintenance.
func (h *haltCmd) Run(c *console) error {
	action := choose(h.Resume, "resume", "halt")
	return h.change(c, "/data-centres/"+url.PathEscape(h.DataCentre)+"/"+action, url.Values{"reason": {h.Reason}}, nil)
}
