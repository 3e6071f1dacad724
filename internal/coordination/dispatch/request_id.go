package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// maxIDLength is the maximum length of a request id, in bytes.
const maxIDLength = 128

// clockMargin is how far a caller's clock may be ahead of this entry host's.
const clockMargin = time.Minute

// IssuedAt returns the creation time that a request id contains. The id is a
// version 7 UUID, or the Unix time in milliseconds, a dash and any text. A retry
// keeps its id, so the id alone shows whether its claim may have been forgotten.
func IssuedAt(id string) (time.Time, error) {
	if len(id) > maxIDLength {
		return time.Time{}, verdict.NotRunError(verdict.CauseBadRequest, fmt.Sprintf("the request id is longer than %d bytes", maxIDLength))
	}
	if parsed, err := uuid.Parse(id); err == nil && parsed.Version() == 7 {
		sec, nsec := parsed.Time().UnixTime()
		return time.Unix(sec, nsec), nil
	}
	digits, _, found := strings.Cut(id, "-")
	ms, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || ms <= 0 {
		return time.Time{}, verdict.NotRunError(verdict.CauseIDRequired,
			"a non-idempotent request needs an id that contains its creation time: a version 7 UUID, or the milliseconds since 1970, a dash and any text")
	}
	return time.UnixMilli(ms), nil
}

// checkAge rejects ids from the future and ids that are older than the claim
// window. Claims of the latter are forgotten, so such a request may have run.
func checkAge(issued, now time.Time, window time.Duration) error {
	if issued.After(now.Add(clockMargin)) {
		return verdict.NotRunError(verdict.CauseIDInFuture, "the time in the request id is in the future; check the caller's clock")
	}
	if now.Sub(issued) > window {
		return verdict.MayHaveRunError(verdict.CauseIDTooOld,
			fmt.Sprintf("the request id is older than %s; it is no longer known whether the request ran", window))
	}
	return nil
}
