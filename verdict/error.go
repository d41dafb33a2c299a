package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error describes why a request ended. It carries the verdict, the reason and,
// if a retry can succeed, the time after which to retry.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration // zero if a retry does not help or the time is unknown
	cause      error
}

// New returns an Error without a cause.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error with the verdict NotRun.
func Refuse(r Reason, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(NotRun, r, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// Wrap returns an Error that wraps cause.
func Wrap(cause error, v Verdict, r Reason, format string, args ...any) *Error {
	e := New(v, r, format, args...)
	e.cause = cause
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Reason, e.Verdict, e.Message, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in the chain of err. An error without a verdict
// becomes an internal error with the conservative verdict MayHaveRun; nil stays
// nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Wrap(err, MayHaveRun, ReasonInternal, "unexpected failure")
}

// After sets the time after which to retry and returns the error.
func (e *Error) After(retryAfter time.Duration) *Error {
	e.RetryAfter = retryAfter
	return e
}
