package cmd

import (
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// patchCmd is `hornbeammast patch --base VERSION [--format json-patch|merge-patch] [--dry-run] [FILE|-]`.
type patchCmd struct {
	remote

	File   string `arg:"" optional:"" default:"-" help:"File with the patch; - reads standard input."`
	Base   uint64 `help:"Version of the configuration that the patch is based on." required:"" short:"b"`
	Format string `help:"json-patch (RFC 6902) or merge-patch (RFC 7396)." enum:"json-patch,merge-patch" default:"merge-patch"`
	DryRun bool   `help:"Only report whether the change would be accepted."`
	Reason string `help:"Reason for the change, stored in the log."`
}

// Run submits the patch.
func (p *patchCmd) Run(c *console) error {
	body, err := readInput(p.File)
	if err != nil {
		return err
	}
	body, err = hujson.Standardize(body)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "parse the patch as JSON with comments")}
	}
	query := url.Values{"base": {strconv.FormatUint(p.Base, 10)}, "format": {p.Format}, "reason": {p.Reason}}
	if p.DryRun {
		query.Set("dry-run", "true")
	}
	return p.change(c, "/config/patch", query, body)
}

// readInput reads a file, or standard input if the name is "-".
func readInput(file string) ([]byte, error) {
	if file == "-" {
		body, err := io.ReadAll(os.Stdin)
		return body, errors.Wrap(err, "read standard input")
	}
	body, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	return body, errors.Wrap(err, "read the file")
}
