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

// Time limits from the platform's documentation.
const (
	// closeRaceWindow is the time after sending within which a request may fail with
	// a connection error if no server has run it: the entry host may close the
	// connection while the request is in transit.
	closeRaceWindow = 200 * time.Millisecond
	// drainBound is the time after which a draining server gets no requests.
	drainBound = 2500 * time.Millisecond
	// evacuateBound is the time after which the servers of an evacuated failure
	// domain get no requests.
	evacuateBound = 5 * time.Second
	// applyBound is the time after which all entry hosts use a new version of the
	// tables.
	applyBound = 2500 * time.Millisecond
)

// recorder records the requests that callers send and backend servers run, and
// the violations found.
type recorder struct {
	mu sync.Mutex
	// sent holds the ids of all requests that callers sent, reportedNotRun those of
	// non-idempotent requests whose answer promised that they have not run, and
	// runs how often servers ran each request.
	sent, reportedNotRun map[string]bool
	runs                 map[string]int
	// sentAt holds when the requests were sent.
	sentAt     map[string]time.Time
	served     int
	violations []string
}

func newRecorder() *recorder {
	return &recorder{sent: map[string]bool{}, reportedNotRun: map[string]bool{}, runs: map[string]int{}, sentAt: map[string]time.Time{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *recorder) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// checkRuns compares the answers that callers got with the requests that servers
// ran. Call it after the last request has ended.
func (r *recorder) checkRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.runs {
		switch {
		case !r.sent[id]:
			r.violations = append(r.violations, fmt.Sprintf("request %s ran but was not sent by any caller", id))
		case r.reportedNotRun[id]:
			r.violations = append(r.violations, fmt.Sprintf("request %s was refused as not run but ran %d times", id, n))
		}
	}
}

// runCaller sends idempotent and non-idempotent requests in turn, over
// keep-alive connections, until ctx ends.
func (s *soak) runCaller(ctx context.Context, callerIndex int) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		nonIdempotent := n%2 == 0
		id := fmt.Sprintf("%d-%d", callerIndex, n)
		host := s.hosts[(callerIndex+n)%len(s.hosts)]
		sent := time.Now()
		answer, err := s.sendRequest(transport, host, nonIdempotent, id)
		elapsed := time.Since(sent)
		s.recorder.mu.Lock()
		runs := s.recorder.runs[id]
		if answer.Status == http.StatusOK {
			s.recorder.served++
		}
		if nonIdempotent && err == nil && answer.PromisesNotRun() {
			s.recorder.reportedNotRun[id] = true
		}
		s.recorder.mu.Unlock()
		if nonIdempotent && runs > 1 {
			s.recorder.addViolation("non-idempotent request %s ran %d times", id, runs)
		}
		if s.planned && err != nil && (runs > 0 || elapsed > closeRaceWindow) {
			s.recorder.addViolation("request %s was cut off by %s after %s, having run %d times: %v", id, host.name, elapsed, runs, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendRequest sends one request and checks that a successful answer is the
// complete answer to it.
func (s *soak) sendRequest(transport http.RoundTripper, h *host, nonIdempotent bool, id string) (standin.Answer, error) {
	return s.sendBody(transport, h, nonIdempotent, id, "")
}

// sendBody is sendRequest with a body.
func (s *soak) sendBody(transport http.RoundTripper, h *host, nonIdempotent bool, id, body string) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	s.recorder.mu.Lock()
	s.recorder.sent[id], s.recorder.sentAt[id] = true, time.Now()
	s.recorder.mu.Unlock()
	// The lengths of the ids give several requests the same affinity key.
	request := standin.Request{
		Address: h.callerAddress, Host: "a.example", Method: http.MethodGet, Path: "/safe/", ID: id, Key: strconv.Itoa(len(id) % 7), Deadline: 2 * time.Second,
		Body: body, Chunked: len(body)%2 == 1,
	}
	if nonIdempotent {
		request.Method, request.Path = http.MethodPut, "/once/"
	}
	answer, err := standin.Send(ctx, transport, request)
	if answer.Defect != "" {
		s.recorder.addViolation("request %s: %s", id, answer.Defect)
	}
	return answer, err
}
