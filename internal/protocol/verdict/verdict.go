// Package verdict defines errors that state whether a request may have run.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict is what is known about whether a request ran.
type Verdict string

const (
	// NotRun means that the request has not taken effect and will not.
	NotRun Verdict = "not-run"
	// MayHaveRun means that the request may have taken effect, or still may.
	MayHaveRun Verdict = "may-have-run"
	// Ran means that the request has taken effect: it was run to completion.
	Ran Verdict = "ran"
)

// Cause is a stable name for the reason why a request failed.
type Cause string

// Error is a refusal or failure of a request with its verdict.
type Error struct {
	Verdict Verdict
	Cause   Cause
	Message string
	// RetryAfter is when the request should be sent again, 0 if that is not known.
	RetryAfter time.Duration
}

// Error returns the verdict, the cause and the message.
func (e *Error) Error() string {
	return string(e.Verdict) + " (" + string(e.Cause) + "): " + e.Message
}

// New returns an error with a verdict.
func New(v Verdict, cause Cause, message string) error {
	return &Error{Verdict: v, Cause: cause, Message: message}
}

// NotRunError returns an error for a request that did not run and will not.
func NotRunError(cause Cause, message string) error {
	return New(NotRun, cause, message)
}

// HopelessError returns an error for a job that did not run because it could not end in time, with
// when it should be submitted again.
func HopelessError(message string, retryAfter time.Duration) error {
	return &Error{Verdict: NotRun, Cause: CauseHopeless, Message: message, RetryAfter: retryAfter}
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (e *Error) RetryAfterSeconds() int { return int((e.RetryAfter + time.Second - 1) / time.Second) }

// MayHaveRunError returns an error for a request whose outcome is unknown: it may have run.
func MayHaveRunError(cause Cause, message string) error {
	return New(MayHaveRun, cause, message)
}

// FromError returns the verdict error in err. For an error without a verdict the request may have
// run.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Cause: CauseInternal, Message: err.Error()}
}
