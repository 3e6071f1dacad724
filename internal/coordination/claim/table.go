// Package claim makes a non-idempotent request run at most once: the first
// claim of its key in log order wins, and only the winner dispatches.
package claim

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// Key is the hash of a team and a request id.
type Key [16]byte

// ID identifies one try to claim a key.
type ID [16]byte

// holding is what the log says of a key.
type holding struct {
	holder      ID
	claimant    string
	incarnation string
	done        bool
	issued      time.Time
}

// table folds one claim stream.
type table struct {
	held map[Key]holding
	// dead are claims that were given up; one that turns up late has no effect.
	dead map[ID]time.Time
}

func newTable() *table {
	return &table{held: map[Key]holding{}, dead: map[ID]time.Time{}}
}

func (t *table) apply(c *wire.Claim) {
	key, id := Key(pad(c.GetKey())), ID(pad(c.GetClaimId()))
	held, taken := t.held[key]
	switch c.GetStep() {
	case wire.ClaimStep_CLAIM_STEP_ASK:
		if _, dead := t.dead[id]; dead || taken {
			return
		}
		t.held[key] = holding{
			holder: id, claimant: c.GetClaimant(), incarnation: c.GetIncarnation(),
			issued: time.UnixMilli(c.GetIssuedUnixMs()),
		}
	case wire.ClaimStep_CLAIM_STEP_GIVE_UP:
		t.dead[id] = time.UnixMilli(c.GetIssuedUnixMs())
		if taken && held.holder == id && !held.done {
			delete(t.held, key)
		}
	case wire.ClaimStep_CLAIM_STEP_DONE:
		if taken && held.holder == id {
			held.done = true
			t.held[key] = held
		}
	}
}

// prune forgets keys issued before a time; such requests are refused before they claim.
func (t *table) prune(before time.Time) {
	for key, held := range t.held {
		if held.issued.Before(before) {
			delete(t.held, key)
		}
	}
	for id, issued := range t.dead {
		if issued.Before(before) {
			delete(t.dead, id)
		}
	}
}

// pad makes any byte string as long as a key.
func pad(b []byte) [16]byte {
	var out [16]byte
	copy(out[:], b)
	return out
}
