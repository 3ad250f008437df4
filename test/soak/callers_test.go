package soak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// Bounds of the platform's pages.
const (
	// lossSlack is the time within which a request that was not passed on may be
	// cut, because it crossed the close of its connection.
	lossSlack = 200 * time.Millisecond
	// drainBound and evacuateBound are the times after which a leaving server and
	// the servers of an evacuated domain get no requests.
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5 * time.Second
	// applyBound is the time after which a version of the tables is in force.
	applyBound = 2500 * time.Millisecond
)

// ledger records what callers and backend servers see.
type ledger struct {
	mu sync.Mutex
	// asked are the requests that callers sent, refused those of which they were
	// told that they have not run, and runs the times that servers ran them.
	asked, refused map[string]bool
	runs           map[string]int
	served         int
	failed         []string
}

func newLedger() *ledger {
	return &ledger{asked: map[string]bool{}, refused: map[string]bool{}, runs: map[string]int{}}
}

func (l *ledger) violation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, fmt.Sprintf(format, args...))
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// check compares what callers were told with what ran. Call it after the last
// request has ended.
func (l *ledger) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.runs {
		switch {
		case !l.asked[id]:
			l.failed = append(l.failed, fmt.Sprintf("request %s ran and was not sent by any caller", id))
		case l.refused[id]:
			l.failed = append(l.failed, fmt.Sprintf("request %s was refused as not run and ran %d times", id, n))
		}
	}
}

// caller sends requests of both kinds over kept connections until ctx ends.
func (s *soak) caller(ctx context.Context, number int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		once := n%2 == 0
		id := fmt.Sprintf("%d-%d", number, n)
		host := s.hosts[(number+n)%len(s.hosts)]
		sent := time.Now()
		answer, err := s.ask(transport, host, once, id)
		took := time.Since(sent)
		s.ledger.mu.Lock()
		runs := s.ledger.runs[id]
		if answer.Status == http.StatusOK {
			s.ledger.served++
		}
		if once && err == nil && answer.PromisesNotRun() {
			s.ledger.refused[id] = true
		}
		s.ledger.mu.Unlock()
		if once && runs > 1 {
			s.ledger.violation("request %s ran %d times", id, runs)
		}
		if s.planned && err != nil && (runs > 0 || took > lossSlack) {
			s.ledger.violation("request %s was cut by %s after %s, runs %d: %v", id, host.name, took, runs, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends one request and checks a success.
func (s *soak) ask(transport http.RoundTripper, h *host, once bool, id string) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.ledger.mu.Lock()
	s.ledger.asked[id] = true
	s.ledger.mu.Unlock()
	r := standin.Request{
		Address: h.caller, Host: "a.example", Method: http.MethodGet, Path: "/safe/", ID: id, Key: strconv.Itoa(len(id) % 7), Deadline: 2 * time.Second,
	}
	if once {
		r.Method, r.Path = http.MethodPut, "/once/"
	}
	answer, err := standin.Ask(ctx, transport, r)
	if answer.Fault != "" {
		s.ledger.violation("request %s: %s", id, answer.Fault)
	}
	return answer, err
}
