package steer

import (
	"bytes"
	"io"
	stdlog "log"
	"net/http"
	"runtime/debug"
)

// protect calls fn, which handles one message, request or timer event. If fn
// panics, only that ends: the panic is logged and counted, and protect returns
// false.
func (h *Host) protect(task string, fn func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.panicked(task, cause)
		}
	}()
	fn()
	return true
}

func (h *Host) panicked(task string, cause any) {
	h.metrics.panics.WithLabelValues(task).Inc()
	h.log.panicked(task, cause, debug.Stack())
}

// protectHandler returns a handler that logs and counts the panics of next and
// aborts the connection, which tells the caller nothing about whether the request
// ran.
func (h *Host) protectHandler(task string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			switch cause := recover(); cause {
			case nil:
			case http.ErrAbortHandler:
				panic(cause)
			default:
				h.panicked(task, cause)
				panic(http.ErrAbortHandler)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// unsolicitedAnswer is the beginning of the line that net/http writes to the
// standard logger when a server sends an answer on an idle connection.
const unsolicitedAnswer = "Unsolicited response received on idle HTTP channel"

// libraryLog passes lines that libraries write to the standard logger on to the
// log of the host, within its rate limit.
type libraryLog struct{ h *Host }

func (l libraryLog) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(unsolicitedAnswer)) {
		l.h.metrics.unsolicitedAnswers.Inc()
	}
	l.h.log.library(line)
	return len(line), nil
}

// LibraryLog returns a writer for lines of libraries that have no structured log,
// such as those of net/http. Each call of Write is one line.
func (h *Host) LibraryLog() io.Writer { return libraryLog{h} }

func (h *Host) libraryLogger() *stdlog.Logger { return stdlog.New(h.LibraryLog(), "", 0) }
