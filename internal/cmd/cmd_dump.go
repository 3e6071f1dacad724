package cmd

// dumpCmd is `hornbeammast dump`.
type dumpCmd struct {
	remote
}

// Run prints the state of an entry host, always as JSON.
func (d *dumpCmd) Run(c *console) error {
	return d.show(c, "/dump", nil)
}
