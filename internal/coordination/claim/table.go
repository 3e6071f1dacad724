// Package claim ensures that a non-idempotent request runs at most once. Entry
// hosts append claims of the request's key to the log; the first claim in log
// order wins, and only its claimant dispatches the request.
package claim

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// Key is the hash of a team and a request id.
type Key [16]byte

// ID identifies one attempt to claim a key.
type ID [16]byte

// winningClaim is the claim that holds a key.
type winningClaim struct {
	claimID     ID
	claimant    string
	incarnation string
	done        bool
	issued      time.Time
}

// table is the fold of one claim stream.
type table struct {
	held map[Key]winningClaim
	// abandoned holds the claims that were abandoned, with the time at which their
	// request was issued. If the claim step of such a claim is read later, it has no effect.
	abandoned map[ID]time.Time
}

func newTable() *table {
	return &table{held: map[Key]winningClaim{}, abandoned: map[ID]time.Time{}}
}

// apply folds one step of a claim. The first claim step for a free key wins it, and only
// an abandon or done step of the winning claim changes it afterwards, so a step that is
// in the log twice is harmless.
func (t *table) apply(c *wire.Claim) {
	key, id := Key(toArray(c.GetKey())), ID(toArray(c.GetClaimId()))
	held, taken := t.held[key]
	switch c.GetStep() {
	case wire.ClaimStep_CLAIM_STEP_ASK:
		if _, abandoned := t.abandoned[id]; abandoned || taken {
			return
		}
		t.held[key] = winningClaim{
			claimID: id, claimant: c.GetClaimant(), incarnation: c.GetIncarnation(),
			issued: time.UnixMilli(c.GetIssuedUnixMs()),
		}
	case wire.ClaimStep_CLAIM_STEP_GIVE_UP:
		t.abandoned[id] = time.UnixMilli(c.GetIssuedUnixMs())
		if taken && held.claimID == id && !held.done {
			delete(t.held, key)
		}
	case wire.ClaimStep_CLAIM_STEP_DONE:
		if taken && held.claimID == id {
			held.done = true
			t.held[key] = held
		}
	}
}

// prune removes the keys and the abandoned claims of requests issued before the
// given time. Such requests are refused before they claim.
func (t *table) prune(before time.Time) {
	for key, held := range t.held {
		if held.issued.Before(before) {
			delete(t.held, key)
		}
	}
	for id, issued := range t.abandoned {
		if issued.Before(before) {
			delete(t.abandoned, id)
		}
	}
}

// toArray copies a byte string into an array of the length of a key or an id,
// truncated or padded with zeros.
func toArray(b []byte) [16]byte {
	var out [16]byte
	copy(out[:], b)
	return out
}
