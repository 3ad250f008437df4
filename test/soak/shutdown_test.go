package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	// grace is the time from SIGTERM to SIGKILL, as in the hosts' settings.
	grace = 6 * time.Second
	// takenWindow is the time after SIGTERM in which a caller may send a request that
	// is still at its server near the end of the grace period, and cut off then.
	takenWindow = 3 * time.Second
	// lastPart is when the last part of the grace period begins.
	lastPart = grace * 5 / 6
)

// keptConn is a caller's connection that is kept open between requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

// RoundTrip sends a request on the connection, once.
func (k *keptConn) RoundTrip(req *http.Request) (*http.Response, error) {
	if deadline, ok := req.Context().Deadline(); ok {
		_ = k.SetDeadline(deadline) // reads and writes fail too if the connection is closed
	}
	if err := req.Write(k); err != nil {
		return nil, err
	}
	return http.ReadResponse(k.r, req)
}

// openConns opens connections to a host and uses each once.
func openConns(t *testing.T, h *host, count int) (list []*keptConn) {
	t.Helper()
	for i := range count {
		c, err := net.DialTimeout("tcp4", h.callerAddress, waitTimeout)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		k := &keptConn{Conn: c, r: bufio.NewReader(c)}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		// No route has this path: the host answers itself.
		_, err = standin.Send(ctx, k, standin.Request{Address: h.callerAddress, Host: "a.example", Method: http.MethodGet, Path: "/none", ID: fmt.Sprint("open-", i), Deadline: time.Second})
		cancel()
		require.NoError(t, err)
		list = append(list, k)
	}
	return list
}

// throttle gives the process of a host a part of each tenth of a second, until the
// returned function is called, as a host with a quota of processor time gets it.
func throttle(h *host, running time.Duration) (stop func()) {
	const period = 100 * time.Millisecond
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			for _, phase := range []struct {
				sig    syscall.Signal
				length time.Duration
			}{{syscall.SIGSTOP, period - running}, {syscall.SIGCONT, running}} {
				h.signal(phase.sig)
				select {
				case <-done:
					h.signal(syscall.SIGCONT)
					return
				case <-time.After(phase.length):
				}
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// TestShutdownOfBusyHost guards against requests that are passed on and cut off by a
// planned shutdown of a host with a part of a core and thousands of kept connections:
// because their connections are closed as idle when they arrive, because the host
// handles the signal late and counts its time from then on, or because they last
// longer than the process. SHUTDOWN_ROUNDS sets how many hosts are stopped.
func TestShutdownOfBusyHost(t *testing.T) {
	const (
		conns     = 2000
		perSecond = 400
		sendAfter = 2500 * time.Millisecond
	)
	t.Setenv("GOMAXPROCS", "1") // for the processes
	rounds := intFromEnv(t, "SHUTDOWN_ROUNDS", 1)
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			s := newSoak(t, 1, 2, 4)
			s.awaitSteadyState(waitTimeout, "at the start")
			h := s.hosts[0]
			kept := openConns(t, h, conns)
			stopThrottle := throttle(h, 40*time.Millisecond)
			time.Sleep(time.Second)
			signalled := time.Now()
			h.signal(syscall.SIGTERM)
			killed := time.AfterFunc(grace, func() { h.signal(syscall.SIGKILL) })
			var ended time.Time
			exited := make(chan struct{})
			go func() { <-h.exited; ended = time.Now(); close(exited) }()
			outcomes := s.sendToLeavingHost(h, kept, signalled.Add(sendAfter), perSecond, signalled)
			<-exited
			killed.Stop()
			stopThrottle()
			t.Logf("the process ended %s after SIGTERM; requests by outcome: %v", ended.Sub(signalled).Round(time.Millisecond), outcomes)
			s.recorder.checkRuns()
			require.Empty(t, s.recorder.violations)
			require.Positive(t, outcomes["status 200"])
		})
	}
}

// TestLateRequestsOfBusyHost guards against requests that are taken late in a planned
// shutdown and cut off at its end, because the host handles the signal late and counts
// its time from then on, or because the answer to an expired deadline arrives after the
// process. The servers answer nothing before the deadlines.
func TestLateRequestsOfBusyHost(t *testing.T) {
	const conns, perSecond = 240, 60
	t.Setenv("GOMAXPROCS", "1") // for the processes
	for round := range intFromEnv(t, "SHUTDOWN_ROUNDS", 1) {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			s := newSoak(t, 1, 1, 32)
			s.awaitSteadyState(waitTimeout, "at the start")
			h := s.hosts[0]
			for _, b := range s.backends {
				b.server.Load().SetFaults(standin.ServerFaults{Delay: waitTimeout})
			}
			var fresh []*keptConn
			for range conns {
				c, err := net.DialTimeout("tcp4", h.callerAddress, waitTimeout)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				fresh = append(fresh, &keptConn{Conn: c, r: bufio.NewReader(c)})
			}
			stopThrottle := throttle(h, 20*time.Millisecond)
			time.Sleep(time.Second)
			signalled := time.Now()
			h.signal(syscall.SIGTERM)
			killed := time.AfterFunc(grace, func() { h.signal(syscall.SIGKILL) })
			outcomes := s.sendToLeavingHost(h, fresh, signalled.Add(1500*time.Millisecond), perSecond, signalled)
			<-h.exited
			killed.Stop()
			stopThrottle()
			t.Logf("requests by outcome: %v", outcomes)
			s.recorder.checkRuns()
			require.Empty(t, s.recorder.violations)
			require.Positive(t, outcomes["status 504"])
		})
	}
}

// sendToLeavingHost sends a request on each connection, from first on, until the grace
// period is over, and counts the outcomes.
func (s *soak) sendToLeavingHost(h *host, conns []*keptConn, first time.Time, perSecond int, signalled time.Time) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i, k := range conns {
		time.Sleep(time.Until(first.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		if time.Since(signalled) >= grace {
			break
		}
		wg.Go(func() {
			outcome := s.sendDuringShutdown(h, k, fmt.Sprint("late-", i), i, signalled)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

// sendDuringShutdown sends one request on a kept connection of a host that was
// signalled, and reports a violation if it ran and got no answer.
func (s *soak) sendDuringShutdown(h *host, k *keptConn, id string, n int, signalled time.Time) (outcome string) {
	r := standin.Request{Address: h.callerAddress, Host: "a.example", Method: http.MethodGet, Path: "/safe/", ID: id, Key: fmt.Sprint(n % 40)}
	// The deadlines differ, so that some end just before the process does.
	r.Deadline = time.Second + time.Duration(n%20)*200*time.Millisecond
	if n%2 == 0 {
		r.Method, r.Path = http.MethodPut, "/once/"
	}
	s.recorder.mu.Lock()
	s.recorder.sent[id] = true
	s.recorder.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+time.Second)
	defer cancel()
	sent := time.Now()
	answer, err := standin.Send(ctx, k, r)
	ended := time.Now()
	s.recorder.mu.Lock()
	ran := s.recorder.runs[id] > 0
	if n%2 == 0 && err == nil && answer.PromisesNotRun() {
		s.recorder.reportedNotRun[id] = true
	}
	s.recorder.mu.Unlock()
	if answer.Defect != "" {
		s.recorder.addViolation("request %s: %s", id, answer.Defect)
	}
	switch {
	case err == nil:
		return fmt.Sprint("status ", answer.Status)
	case !ran && ended.Sub(sent) <= closeRaceWindow:
		return "closed, not run"
	case ended.Sub(sent) >= r.Deadline:
		return "deadline"
	case sent.Sub(signalled) <= takenWindow && ended.Sub(signalled) >= lastPart:
		return "cut at the end, sent early"
	}
	s.recorder.addViolation("request %s, sent %s after SIGTERM with %s left, was cut off after %s, ran: %t: %v",
		id, sent.Sub(signalled).Round(time.Millisecond), r.Deadline, ended.Sub(sent).Round(time.Millisecond), ran, err)
	return "cut"
}

// TestRepeatedSIGTERMCutsNothing guards against a second SIGTERM that ends the host at
// once, with the requests that the first one lets go on.
func TestRepeatedSIGTERMCutsNothing(t *testing.T) {
	s := newEmptySoak(t)
	route := standin.Route{Name: "once", Host: "a.example", Prefix: "/once/", Pool: "p", Timeout: 3 * time.Second, Target: 2 * time.Second}
	s.store.Configure(s.tablesVersion, 1000, []string{"p"}, []standin.Route{route})
	server := &standin.Server{
		ServerEntry: standin.ServerEntry{ID: "i-0", Pool: "p", Address: freeAddress(t), Domain: "a-1", Slots: 32, StartedMS: 1},
		ServiceTime: 1500 * time.Millisecond, OnRun: s.recorder.recordRun,
	}
	require.NoError(t, server.Start())
	t.Cleanup(server.Stop)
	s.store.Publish(server.ServerEntry, "ready")
	s.startOnlyHost()
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			id := fmt.Sprint("slow-", i)
			answer, err := s.sendRequest(&http.Transport{}, s.hosts[0], true, id)
			if err != nil || answer.Status != http.StatusOK {
				s.recorder.addViolation("request %s: status %d, %v", id, answer.Status, err)
			}
		})
	}
	require.Eventually(t, func() bool {
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		return len(s.recorder.runs) == 16
	}, waitTimeout, time.Millisecond)
	signalled := time.Now()
	for range 3 {
		s.hosts[0].signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	require.Empty(t, s.recorder.violations)
	select {
	case <-s.hosts[0].exited:
		require.LessOrEqual(t, time.Since(signalled), grace)
	case <-time.After(time.Until(signalled.Add(grace))):
		require.Fail(t, "the host did not end within the grace period")
	}
}
