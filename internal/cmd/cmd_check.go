package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
)

// checkCmd is `hornbeammast check [--settings FILE ...] [--config FILE ...]`.
type checkCmd struct {
	Settings []string `help:"Settings files to check." type:"existingfile"`
	Config   []string `help:"Files with whole configurations to check." type:"existingfile"`
	Output   string   `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

// checkedFile is one file that passed the check.
type checkedFile struct {
	File string `json:"file"`
	Kind string `json:"kind"`
}

// Run checks the files offline. It stops at the first file that is not valid.
func (k *checkCmd) Run(c *console) error {
	if len(k.Settings)+len(k.Config) == 0 {
		return &exitError{exitUsage, errors.New("no files to check: give at least one with --settings or --config")}
	}
	good := []checkedFile{}
	for _, path := range k.Settings {
		if err := checkSettings(path); err != nil {
			return err
		}
		good = append(good, checkedFile{path, "settings"})
	}
	for _, path := range k.Config {
		if err := checkConfig(path); err != nil {
			return errors.Wrap(err, path)
		}
		good = append(good, checkedFile{path, "configuration"})
	}
	if k.Output == "json" {
		return printJSON(c, good)
	}
	for _, file := range good {
		_, _ = fmt.Fprintf(c.out, "%s: good %s\n", file.File, file.Kind)
	}
	return nil
}

// checkSettings checks the settings file of an entry host for requests or for jobs.
func checkSettings(path string) error {
	jobs, err := settings.IsJobSettings(path)
	if err != nil {
		return err
	}
	if jobs {
		_, err = settings.LoadJobSettings(path)
	} else {
		_, err = settings.Load(path)
	}
	return err
}

func checkConfig(path string) error {
	data, err := readInput(path)
	if err != nil {
		return err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrap(err, "parse the configuration as JSON with comments")
	}
	_, err = fleet.Parse(plain)
	return err
}
