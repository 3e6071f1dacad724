package cmd

import "github.com/cockroachdb/errors"

// restoreCmd is `hornbeammast restore --accept-empty`.
type restoreCmd struct {
	remote

	AcceptEmpty bool `help:"Begin with an empty configuration, because no entry host holds one any more."`
}

// Run ends a restore that has no configuration to restore.
func (r *restoreCmd) Run(c *console) error {
	if !r.AcceptEmpty {
		return &exitError{exitUsage, errors.New("say --accept-empty if every configuration is really lost; else wait for an entry host that holds one")}
	}
	return r.change(c, "/restore/empty", nil, nil)
}
