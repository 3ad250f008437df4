package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// bodyLengthHeader tells the servers how long the body of the caller is.
const bodyLengthHeader = "X-Body-Length"

// newSpoiledSoak returns a soak with spoiling servers in two pools and a route of each
// kind to each of them.
func newSpoiledSoak(t *testing.T, seed uint64, hosts, servers int) (*soak, []*spoilingServer, *givenAnswers) {
	s := newEmptySoak(t)
	s.rng = rand.New(rand.NewPCG(seed, 78))
	given := &givenAnswers{statuses: map[string][]int{}, written: map[string][]string{}}
	var err error
	s.storeProxy, err = newTCPProxy(freeAddress(t), s.storeAddress)
	require.NoError(t, err)
	t.Cleanup(s.storeProxy.close)
	s.writeSpoiledTables()
	var list []*spoilingServer
	for i := range servers {
		v := &spoilingServer{soak: s, given: given, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		require.NoError(t, v.start(standin.ServerEntry{
			ID: fmt.Sprintf("i-%d", i), Pool: []string{"p", "q"}[i%2], Address: freeAddress(t), Domain: domains[i/2%len(domains)], Slots: 3, StartedMS: time.Now().UnixMilli(),
		}))
		t.Cleanup(v.stop)
		list = append(list, v)
	}
	for i := range hosts {
		s.hosts = append(s.hosts, newHost(t, fmt.Sprintf("h%d", i), domains[i%len(domains)], s.storeProxy.address(), func(name string, err error) {
			s.recorder.addViolation("%s ended by itself: %v", name, err)
		}))
	}
	s.awaitTables(waitTimeout, "at the start")
	return s, list, given
}

func (s *soak) writeSpoiledTables() {
	s.tablesVersion += 1 + s.rng.IntN(3)
	var routes []standin.Route
	for _, pool := range []string{"p", "q"} {
		r := standin.Route{Host: "a.example", Pool: pool, Timeout: time.Second, Target: 200 * time.Millisecond}
		safe, once := r, r
		safe.Name, safe.Prefix, safe.Idempotent = "safe-"+pool, "/"+pool+"/safe/", true
		once.Name, once.Prefix = "once-"+pool, "/"+pool+"/once/"
		routes = append(routes, safe, once)
	}
	s.store.Configure(s.tablesVersion, 1000, []string{"p", "q"}, routes)
}

// TestNoFalseRefusalUnderFaults guards against "not run" for a request that ran, a second
// run of a write, answers with another status or body than a server gave, changed bodies
// requests at servers of another pool and answers without a request, while servers repeat, break off and lose
// answers, are full, crash and start again under the same id, another one or in another
// pool, and hosts are stopped, paused, killed and short of processor time. SPOIL_SEEDS, SPOIL_SECONDS and
// SPOIL_DOSE (a factor of the shares) make it longer and harder.
func TestNoFalseRefusalUnderFaults(t *testing.T) {
	first, last := 1, 4
	if text := os.Getenv("SPOIL_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	duration := time.Duration(intFromEnv(t, "SPOIL_SECONDS", 6)) * time.Second
	semaphore := make(chan struct{}, intFromEnv(t, "SOAK_PARALLEL", 4))
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			// Every second seed has the shares that are common in operation.
			factor := float64(intFromEnv(t, "SPOIL_DOSE", 8))
			if seed%2 == 0 {
				factor = 1
			}
			s, servers, given := newSpoiledSoak(t, uint64(seed), 3, 8)
			s.runSpoiled(servers, given, duration, factor)
		})
	}
}

// runSpoiled spoils answers, restarts servers and disturbs hosts while callers send
// requests, and checks what callers were told.
func (s *soak) runSpoiled(servers []*spoilingServer, given *givenAnswers, duration time.Duration, factor float64) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	statuses := make([]map[int]int, 16)
	for i := range statuses {
		statuses[i] = map[int]int{}
		callers.Go(func() { s.callSpoiled(done, i, given, statuses[i]) })
	}
	var faults sync.WaitGroup
	for until := time.Now().Add(duration); time.Now().Before(until); {
		length := time.Duration(100+s.rng.IntN(1200)) * time.Millisecond
		switch kind := s.rng.IntN(11); {
		case kind < 4:
			s.spoil(servers, factor)
		case kind < 7:
			s.restartServers(&faults, servers, length/4)
		case kind < 8:
			s.injectHostFault(&faults, length)
		case kind < 9:
			s.injectStoreFault(&faults, length)
		case kind < 10:
			stop := throttle(s.hosts[s.rng.IntN(len(s.hosts))], 25*time.Millisecond)
			faults.Go(func() {
				time.Sleep(length)
				stop()
			})
		default:
			s.writeSpoiledTables()
		}
		time.Sleep(time.Duration(30+s.rng.IntN(200)) * time.Millisecond)
	}
	faults.Wait()
	s.store.SetFaults(standin.Faults{})
	close(done)
	callers.Wait()
	time.Sleep(200 * time.Millisecond) // for requests that may still begin to run
	s.recorder.checkRuns()
	total := map[int]int{}
	for _, m := range statuses {
		for status, n := range m {
			total[status] += n
			s.recorder.served += n * boolInt(status == http.StatusOK)
		}
	}
	s.t.Logf("answers by status, 0 without one: %v", total)
	if len(s.recorder.violations) > 0 {
		s.t.Logf("what servers wrote:\n%s", given.transcript(s.recorder.violations))
	}
	s.report()
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// spoil draws new spoilings for the servers: one or two kinds, each for a share of them.
func (s *soak) spoil(servers []*spoilingServer, factor float64) {
	var kinds []int
	for range 1 + s.rng.IntN(2) {
		kinds = append(kinds, s.rng.IntN(len(spoilings)))
	}
	for _, v := range servers {
		drawn := spoiling{}
		for _, kind := range kinds {
			if s.rng.Float64() < spoilings[kind].share {
				drawn.add(spoilings[kind].spoiling, factor)
			}
		}
		v.setSpoiling(drawn)
	}
}

// restartServers crashes one or two servers and starts them again after a while at their
// addresses: under the same id, under another one, or with their pools exchanged.
func (s *soak) restartServers(wg *sync.WaitGroup, servers []*spoilingServer, length time.Duration) {
	first := s.rng.IntN(len(servers) / 2)
	pair := []*spoilingServer{servers[2*first], servers[2*first+1]}
	kind, withdraw := s.rng.IntN(4), s.rng.IntN(2) == 0
	if kind < 2 {
		pair = pair[:1]
	}
	s.deployments++
	n := s.deployments
	wg.Go(func() {
		var entries []standin.ServerEntry
		for _, v := range pair {
			v.mu.Lock()
			crashed := v.listener == nil
			entries = append(entries, v.entry)
			v.mu.Unlock()
			if crashed {
				return // another restart is in progress
			}
		}
		for i, v := range pair {
			v.crash()
			if kind > 0 && withdraw {
				s.store.Withdraw(entries[i].ID)
			}
		}
		time.Sleep(length)
		for i, v := range pair {
			entry := entries[i]
			entry.StartedMS = time.Now().UnixMilli()
			old := entry.ID
			if kind > 0 {
				entry.ID = fmt.Sprintf("i-%d-%d", n, i)
			}
			if kind > 1 {
				entry.Pool = entries[1-i].Pool
			}
			if err := v.start(entry); err != nil {
				s.recorder.addViolation("backend server did not start: %v", err)
			}
			if kind > 0 && !withdraw {
				time.AfterFunc(length, func() { s.store.Withdraw(old) })
			}
		}
	})
}

// callSpoiled sends requests of both kinds, with and without bodies, until done is
// closed, and checks the answers.
func (s *soak) callSpoiled(done <-chan struct{}, caller int, given *givenAnswers, statuses map[int]int) {
	pooled := &http.Transport{}
	defer pooled.CloseIdleConnections()
	var transport http.RoundTripper = pooled
	if caller%2 == 1 {
		strict := &strictTransport{soak: s, conns: map[string]*keptConn{}}
		defer strict.close()
		transport = strict
	}
	rng := rand.New(rand.NewPCG(uint64(caller), 3))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", filepath.Base(s.t.Name()), caller, n)
		once := n%4 != 0
		answer, err := s.sendSpoiled(transport, rng, id, once)
		statuses[answer.Status]++
		s.recorder.mu.Lock()
		runs := s.recorder.runs[id]
		if once && err == nil && answer.PromisesNotRun() {
			s.recorder.reportedNotRun[id] = true
		}
		s.recorder.mu.Unlock()
		switch {
		case once && runs > 1:
			s.recorder.addViolation("request %s ran %d times", id, runs)
		case err != nil:
		case answer.Defect != "":
			s.recorder.addViolation("request %s: %s", id, answer.Defect)
		case (answer.Status == http.StatusOK || answer.Stamp != "") && !given.gave(id, answer.Status):
			s.recorder.addViolation("request %s: status %d with stamp %q, which no server gave", id, answer.Status, answer.Stamp)
		}
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		}
	}
}

// strictTransport keeps one connection to each host and reports what arrives on it while
// no request waits for an answer: a caller would take it for the answer to its next one.
type strictTransport struct {
	*soak
	conns map[string]*keptConn
}

func (t *strictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	if k := t.conns[address]; k != nil && !t.isQuiet(k) {
		t.drop(address)
	}
	k := t.conns[address]
	if k == nil {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return nil, err
		}
		k = &keptConn{Conn: c, r: bufio.NewReader(c)}
		t.conns[address] = k
	}
	resp, err := k.RoundTrip(req)
	if err != nil {
		t.drop(address)
	}
	return resp, err
}

// isQuiet reports whether an idle connection is open and nothing has arrived on it.
func (t *strictTransport) isQuiet(k *keptConn) bool {
	_ = k.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	more, err := k.r.Peek(1)
	if len(more) > 0 {
		more, _ = k.r.Peek(k.r.Buffered())
		t.recorder.addViolation("%q arrived on a connection of a caller without a request", more)
	}
	return len(more) == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

func (t *strictTransport) drop(address string) {
	_ = t.conns[address].Close()
	delete(t.conns, address)
}

func (t *strictTransport) close() {
	for address := range t.conns {
		t.drop(address)
	}
}

func (s *soak) sendSpoiled(transport http.RoundTripper, rng *rand.Rand, id string, once bool) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.recorder.mu.Lock()
	s.recorder.sent[id] = true
	s.recorder.mu.Unlock()
	body := strings.Repeat("b", bodySizes[rng.IntN(len(bodySizes))])
	request := standin.Request{
		Address: s.hosts[rng.IntN(len(s.hosts))].callerAddress, Host: "a.example", Method: http.MethodGet, ID: id, Key: strconv.Itoa(rng.IntN(7)), Deadline: time.Second,
		Header: map[string]string{bodyLengthHeader: strconv.Itoa(len(body))},
	}
	pool := []string{"p", "q"}[rng.IntN(2)]
	request.Path = "/" + pool + "/safe/"
	if once {
		request.Method, request.Path = http.MethodPut, "/"+pool+"/once/"
		request.Body, request.Chunked = body, len(body)%2 == 1
	} else {
		request.Header[bodyLengthHeader] = "0"
	}
	return standin.Send(ctx, transport, request)
}
