package cmd

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/demo"
)

// demoCmd is `hornbeammast demo [--log FILE]`.
type demoCmd struct {
	Log string `help:"File for the event log of the entry hosts." type:"path"`
}

// Run runs the demonstration.
func (d *demoCmd) Run(c *console) error {
	log := io.Discard
	if d.Log != "" {
		file, err := os.Create(d.Log)
		if err != nil {
			return errors.Wrap(err, "create the event log")
		}
		defer func() { _ = file.Close() }()
		log = file
	}
	return demo.Run(c.out, log)
}
