package cmd

import "net/url"

// haltCmd is `hornbeammast halt DATA-CENTRE [--resume] [--reason TEXT]`.
type haltCmd struct {
	remote

	DataCentre string `arg:"" help:"Data centre whose maintenance to stop."`
	Resume     bool   `help:"Resume the maintenance instead."`
	Reason     string `help:"Reason for the change, stored in the log."`
}

// Run stops or resumes the maintenance.
func (h *haltCmd) Run(c *console) error {
	action := choose(h.Resume, "resume", "halt")
	return h.change(c, "/data-centres/"+url.PathEscape(h.DataCentre)+"/"+action, url.Values{"reason": {h.Reason}}, nil)
}
