package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/entryhost"
	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
)

// serveCmd is `hornbeammast serve --settings FILE`.
type serveCmd struct {
	Settings string `help:"Settings file, JSON with comments." type:"existingfile" required:"" short:"s"`
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully.
func (s *serveCmd) Run(c *console) error {
	jobs, err := settings.IsJobSettings(s.Settings)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if jobs {
		return serveJobs(c, s.Settings)
	}
	loaded, err := settings.Load(s.Settings)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	log, err := eventlog.New(c.err, loaded.LogLevel)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	e, err := entryhost.Start(loaded, log)
	if err != nil {
		return err
	}
	select {
	case err := <-e.Fatal():
		log.Event("fatal", "error", err)
		e.Kill()
		return err
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), loaded.ShutdownGrace.Std())
	defer cancel()
	return errors.Wrap(e.Shutdown(ctx), "shut down")
}
