package intake

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// fakeVersions has a version in force, and the one that a confirmation finds; nil if there is none.
type fakeVersions struct {
	inForce, confirmed *access.Directory
	asked              int
}

func (v *fakeVersions) Access() *access.Directory { return v.inForce }
func (v *fakeVersions) ConfirmedAt() time.Time    { return time.Now() }

func (v *fakeVersions) ConfirmedAccess(context.Context) *access.Directory {
	v.asked++
	return v.confirmed
}

// versionWith returns a version with one key, and with a queue that no other has.
func versionWith(version int64) *access.Directory {
	return access.New(&queue.Configuration{
		Version: version, RequiresKeys: true, Queues: []queue.Queue{{Name: "tiles"}, {Name: fmt.Sprint("tiles-", version), Public: true}},
		Organisations: []queue.Organisation{{Name: "one", Keys: []queue.KeyDigest{queue.DigestKey(fmt.Sprint("k-", version))}}},
	})
}

// TestOlderVersionRefusesNothing guards against a refusal by a version that may have been replaced, and against a
// call that waits for a confirmation although it is accepted.
func TestOlderVersionRefusesNothing(t *testing.T) {
	i := New(nil, nil, &fakeOwners{}, time.Now)
	for _, c := range []struct {
		name, key, queue   string
		inForce, confirmed *access.Directory
		want               string
		wantAsked          int
	}{
		{"accepted at once", "k-1", "tiles", versionWith(1), nil, "1", 0},
		{"key added", "k-2", "tiles", versionWith(1), versionWith(2), "2", 1},
		{"queue added", "", "tiles-2", versionWith(1), versionWith(2), "2", 1},
		{"unknown key", "k-3", "tiles", versionWith(1), versionWith(2), "unauthorised", 1},
		{"unknown queue", "k-2", "tiles-3", versionWith(1), versionWith(2), "unknown-queue", 1},
		{"key, unconfirmed", "k-2", "tiles", versionWith(1), nil, "not-serving", 1},
		{"queue, unconfirmed", "", "tiles-2", versionWith(1), nil, "not-serving", 1},
		{"no version", "k-1", "tiles", nil, versionWith(1), "not-serving", 0},
	} {
		v := &fakeVersions{inForce: c.inForce, confirmed: c.confirmed}
		caller, err := i.Identify(t.Context(), v, []string{"Token " + c.key}, func(config *queue.Configuration) (*queue.Queue, error) {
			for n := range config.Queues {
				if config.Queues[n].Name == c.queue {
					return &config.Queues[n], nil
				}
			}
			return nil, verdict.NotRunError(verdict.CauseUnknownQueue, "no such queue")
		})
		var got string
		if err != nil {
			got = string(verdict.FromError(err).Cause)
		} else {
			got = fmt.Sprint(caller.Configuration.Version)
		}
		if diff := cmp.Diff([]any{c.want, c.wantAsked}, []any{got, v.asked}); diff != "" {
			t.Errorf("%s: answer and confirmations (-want +got):\n%s", c.name, diff)
		}
	}
}
