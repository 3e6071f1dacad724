package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// configCmd is `hornbeammast config [--version N] [--record ID]`.
type configCmd struct {
	remote

	Version uint64 `help:"Version to show, if the entry host still knows it; 0 is the newest."`
	Record  string `help:"Show the outcome of the record with this ID instead."`
}

// Run prints the configuration, or the outcome of a record.
func (k *configCmd) Run(c *console) error {
	if k.Record != "" {
		return k.show(c, "/config/record/"+url.PathEscape(k.Record), nil)
	}
	query := url.Values{}
	if k.Version > 0 {
		query.Set("version", strconv.FormatUint(k.Version, 10))
	}
	answer, err := k.call(http.MethodGet, "/config", query, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return problemError(answer)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer.Body, "", "  "); err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	if k.Output == "json" {
		_, _ = fmt.Fprintf(c.out, "{\"version\": %s, \"config\": %s}\n", answer.Header.Get("Hornbeammast-Version"), indented.String())
		return nil
	}
	_, _ = fmt.Fprintf(c.out, "# version %s\n%s\n", answer.Header.Get("Hornbeammast-Version"), indented.String())
	return nil
}
