package cmd

import "github.com/cockroachdb/errors"

// restoreCmd is `hornbeammast restore --accept-empty`.
type restoreCmd struct {
	remote

	AcceptEmpty bool `help:"Confirm that no entry host holds a configuration any more, and begin with an empty one."`
}

// Run ends a restore by accepting an empty configuration.
func (r *restoreCmd) Run(c *console) error {
	if !r.AcceptEmpty {
		return &exitError{exitUsage, errors.New("give --accept-empty if every copy of the configuration is lost; otherwise wait for an entry host that holds one")}
	}
	return r.change(c, "/restore/empty", nil, nil)
}
