package cmd

// demoCmd is `hornbeammast demo`.
type demoCmd struct{}

// Run shows the whole path.
func (d *demoCmd) Run(c *console) error { return runDemo(c) }
