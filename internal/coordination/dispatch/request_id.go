package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// maxIDLength bounds a request id, in bytes.
const maxIDLength = 128

// clockMargin is how far a caller's clock may be ahead.
const clockMargin = time.Minute

// IssuedAt reads the time that a request id carries: a UUID of version 7, or
// the Unix time in milliseconds, a dash and any text. A retry keeps its id, so
// an id that is too old to be remembered is known by itself.
func IssuedAt(id string) (time.Time, error) {
	if len(id) > maxIDLength {
		return time.Time{}, verdict.Refuse(verdict.CauseBadRequest, fmt.Sprintf("the request id is longer than %d bytes", maxIDLength))
	}
	if parsed, err := uuid.Parse(id); err == nil && parsed.Version() == 7 {
		sec, nsec := parsed.Time().UnixTime()
		return time.Unix(sec, nsec), nil
	}
	digits, _, found := strings.Cut(id, "-")
	ms, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || ms <= 0 {
		return time.Time{}, verdict.Refuse(verdict.CauseIDRequired,
			"a non-idempotent request needs an id that carries its time: a UUID of version 7, or milliseconds since 1970, a dash and any text")
	}
	return time.UnixMilli(ms), nil
}

// checkAge refuses ids that nobody remembers any more, or that lie in the future.
func checkAge(issued, now time.Time, window time.Duration) error {
	if issued.After(now.Add(clockMargin)) {
		return verdict.Refuse(verdict.CauseIDInFuture, "the request id's time lies in the future; check the clock")
	}
	if now.Sub(issued) > window {
		return verdict.Doubt(verdict.CauseIDTooOld,
			fmt.Sprintf("the request id is older than %s; whether it ran is not known any more", window))
	}
	return nil
}
