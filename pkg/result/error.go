package result

import (
	stderrors "errors"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// RunState says whether a request was run by a backend server.
type RunState string

// The run states. NotRun is used only where it is certain; Unknown means that the
// request may have run.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
	Run     RunState = "run"
)

// MergeRunStates combines the run states of two attempts at one request: it
// returns Run if one of them ran, else Unknown if one of them may have run.
func MergeRunStates(a, b RunState) RunState {
	switch {
	case a == Run || b == Run:
		return Run
	case a == Unknown || b == Unknown:
		return Unknown
	}
	return NotRun
}

// Error is an outcome other than OK.
type Error struct {
	Code       Code
	Run        RunState
	Message    string
	RetryAfter time.Duration // when a retry may succeed; if 0, the caller gets no Retry-After header
	cause      error
}

// New returns an Error with run state NotRun.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: NotRun, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with run state NotRun and the given cause.
func Wrap(cause error, c Code, format string, args ...any) *Error {
	e := New(c, format, args...)
	e.cause = errors.Trace(cause)
	return e
}

// WithRun sets the run state and returns e.
func (e *Error) WithRun(r RunState) *Error {
	e.Run = r
	return e
}

// WithRetryAfter sets the time after which a retry may succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code, its name and the message.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s: %s", e.Code, e.Code.Name(), e.Message)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error inside err, or an Internal error with run state
// Unknown if there is none. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error").WithRun(Unknown)
}

// CodeOf returns the code of err: OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
