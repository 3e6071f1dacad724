package intake

import (
	"context"
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
	// ConfirmedAccess returns the same once no version is missing that has to be in force by now; nil if
	// that can't be confirmed within a short time or before ctx ends.
	ConfirmedAccess(ctx context.Context) *access.Directory
	// ConfirmedAt returns the time up to which the configuration in force is known to be the newest that was
	// published; zero if it is not known for any time.
	ConfirmedAt() time.Time
}

// Find returns the queue of a request in a configuration, or an error with a verdict if it has none.
type Find func(*queue.Configuration) (*queue.Queue, error)

// Identify returns the caller of a request with these Authorization headers, or an error with a verdict: the
// causes of find and of access.Directory, and not-serving while no configuration is in force. A request is
// accepted by the version in force, but refused only by one that is confirmed: an older version does not know
// which queues and keys there are. Until then, and without a confirmation, the cause is not-serving too.
func (i *Intake) Identify(ctx context.Context, versions Versions, authorization []string, find Find) (Caller, error) {
	directory := versions.Access()
	if directory == nil {
		return Caller{}, errNoConfiguration
	}
	caller, err := identify(directory, authorization, find)
	if err == nil {
		return caller, nil
	}
	if directory = versions.ConfirmedAccess(ctx); directory == nil {
		return Caller{}, errUnconfirmed
	}
	if caller, err = identify(directory, authorization, find); err != nil {
		i.events.Event("caller-refused", "config", directory.Configuration().Version, "confirmed-age", i.now().Sub(versions.ConfirmedAt()), "error", err)
	}
	return caller, err
}

var (
	errNoConfiguration = verdict.NotRunError(verdict.CauseNotServing, "no configuration is in force yet; try again")
	errUnconfirmed     = verdict.NotRunError(verdict.CauseNotServing, "the configuration in force may have been replaced, and the older one does not allow the request; try again")
)

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
