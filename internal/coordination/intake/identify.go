package intake

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// Versions holds the configuration in force with its keys.
type Versions interface {
	// Access returns the keys of the configuration in force, with that configuration; nil if there is
	// none yet.
	Access() *access.Directory
	// ConfirmedAt returns the time up to which the configuration in force is known to be the newest that was
	// published; zero if it is not known for any time.
	ConfirmedAt() time.Time
}

// Find returns the queue of a request in a configuration, or an error with a verdict if it has none.
type Find func(*queue.Configuration) (*queue.Queue, error)

// Identify returns the caller of a request with these Authorization headers, or an error with a verdict:
// not-serving while no configuration is in force, and the causes of find and of access.Directory.
func (i *Intake) Identify(versions Versions, authorization []string, find Find) (Caller, error) {
	directory := versions.Access()
	if directory == nil {
		return Caller{}, verdict.NotRunError(verdict.CauseNotServing, "no configuration is in force yet; try again")
	}
	caller, err := identify(directory, authorization, find)
	if err != nil {
		i.events.Event("caller-refused", "config", directory.Configuration().Version, "confirmed-age", i.now().Sub(versions.ConfirmedAt()), "error", err)
	}
	return caller, err
}

func identify(directory *access.Directory, authorization []string, find Find) (Caller, error) {
	c := directory.Configuration()
	q, err := find(c)
	if err != nil {
		return Caller{}, err
	}
	organisation, err := directory.Caller(authorization, q.Public)
	if err != nil {
		return Caller{}, err //nolint:wrapcheck // It has a verdict.
	}
	return Caller{Configuration: c, Queue: q, Organisation: organisation}, nil
}
