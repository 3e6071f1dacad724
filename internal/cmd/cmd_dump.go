package cmd

// dumpCmd is `hornbeammast dump`.
type dumpCmd struct {
	remote
}

// Run shows every table of an entry host; it is always JSON.
func (d *dumpCmd) Run(c *console) error {
	return d.show(c, "/dump", nil)
}
