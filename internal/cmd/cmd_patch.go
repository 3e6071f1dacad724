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
	Base   uint64 `help:"Version that the patch was written against." required:"" short:"b"`
	Format string `help:"json-patch (RFC 6902) or merge-patch (RFC 7396)." enum:"json-patch,merge-patch" default:"merge-patch"`
	DryRun bool   `help:"Only tell what the fold would say."`
	Reason string `help:"Why; kept in the log."`
}

// Run submits the patch.
func (p *patchCmd) Run(c *console) error {
	body, err := readInput(p.File)
	if err != nil {
		return err
	}
	body, err = hujson.Standardize(body)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "the patch is not JSON with comments")}
	}
	query := url.Values{"base": {strconv.FormatUint(p.Base, 10)}, "format": {p.Format}, "reason": {p.Reason}}
	if p.DryRun {
		query.Set("dry-run", "true")
	}
	return p.change(c, "/config/patch", query, body)
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		body, err := io.ReadAll(os.Stdin)
		return body, errors.Wrap(err, "read standard input")
	}
	body, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	return body, errors.Wrap(err, "read the file")
}
