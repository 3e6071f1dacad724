// Package verdict says whether a request may have run.
package verdict

import (
	"github.com/cockroachdb/errors"
)

// Verdict tells a caller what is known about its request.
type Verdict string

const (
	// NotRun means that no upstream ran the request and none will.
	NotRun Verdict = "not-run"
	// MayHaveRun means that an upstream may have run the request.
	MayHaveRun Verdict = "may-have-run"
	// Ran means that an upstream ran the request to its end.
	Ran Verdict = "ran"
)

// Cause is a stable name for why a request ended as it did.
type Cause string

// Error is a refusal or failure that carries its verdict.
type Error struct {
	Verdict Verdict
	Cause   Cause
	Message string
}

// Error gives the verdict, the cause and what to do.
func (e *Error) Error() string {
	return string(e.Verdict) + " (" + string(e.Cause) + "): " + e.Message
}

// New makes an error with a verdict.
func New(v Verdict, cause Cause, message string) error {
	return &Error{Verdict: v, Cause: cause, Message: message}
}

// Refuse makes an error that says the request did not run.
func Refuse(cause Cause, message string) error {
	return New(NotRun, cause, message)
}

// Doubt makes an error that says the request may have run.
func Doubt(cause Cause, message string) error {
	return New(MayHaveRun, cause, message)
}

// Of finds the verdict in err; an error without one may have run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Cause: CauseInternal, Message: err.Error()}
}
