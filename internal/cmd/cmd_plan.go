package cmd

import (
	"net/url"
	"strconv"
)

// planCmd is `hornbeammast plan [--weeks N]`.
type planCmd struct {
	remote

	Weeks int `help:"Show the calendar of that many weeks too."`
}

// Run shows what the planner would do next.
func (p *planCmd) Run(c *console) error {
	return p.show(c, "/plan", url.Values{"weeks": {strconv.Itoa(p.Weeks)}})
}
