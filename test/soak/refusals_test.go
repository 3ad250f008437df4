package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// misbehaviour says what a faulty server writes, beside its true answers, on a kept
// connection on which it has refused a request before. refusal is the text of that
// refusal.
type misbehaviour struct {
	// whenIdle is written after the refusal, while no request is in progress.
	whenIdle func(refusal string) string
	// whenRunning is written when the next request has begun to run, and beforeAnswer
	// directly before its answer.
	whenRunning, beforeAnswer func(refusal string) string
	// withoutID leaves the request id out of the refusal.
	withoutID bool
	// restarts gives the server a new id again and again. A request that is refused
	// under the old id may be sent to the same address under the new one.
	restarts bool
	// notRunFirst writes the header that says that the request did not run before the
	// length of the refusal.
	notRunFirst bool
	// loseAnswers closes the connection instead of answering a request that ran.
	loseAnswers bool
	// unmarked answers a request that ran with 503, without the header that says that
	// it did not run.
	unmarked bool
	// unsigned answers a request that ran with 504 and without a stamp.
	unsigned bool
	// early refuses before the body has been read.
	early bool
	// answerEarly answers a request that runs before the body has been read.
	answerEarly bool
	// body is the body of a refusal; of which brokenOff leaves out a part.
	body      string
	brokenOff bool
}

func whole(refusal string) string { return refusal }

// cutInHeader returns the refusal up to the middle of the header that says that the
// request did not run. What follows on the connection continues that line.
func cutInHeader(refusal string) string {
	return refusal[:strings.Index(refusal, "X-Not-Executed")+len("X-Not-Executed: 1")]
}

// cutAfterHeader is cutInHeader with the beginning of another header.
func cutAfterHeader(refusal string) string { return cutInHeader(refusal) + "\r\nX-Pad: " }

// withoutIDLine returns the refusal without the id of its request.
func withoutIDLine(refusal string) string {
	before, after, found := strings.Cut(refusal, "X-Request-Id: ")
	if !found {
		return refusal
	}
	_, after, _ = strings.Cut(after, "\r\n")
	return before + after
}

// cutInStatusLine returns the refusal up to the middle of its first line.
func cutInStatusLine(refusal string) string { return refusal[:len("HTTP/1.1 421 M")] }

// cutInBody returns the refusal without the last bytes of its body.
func cutInBody(refusal string) string { return refusal[:len(refusal)-3] }

func garbage(string) string { return "\x00\x01 not an answer\r\n\r\n" }

var misbehaviours = map[string]misbehaviour{
	"copy while idle":                   {whenIdle: whole},
	"copy without id while idle":        {whenIdle: withoutIDLine},
	"copy while running":                {whenRunning: whole},
	"copy without id while running":     {whenRunning: withoutIDLine},
	"refusals without id, copy":         {whenRunning: whole, withoutID: true},
	"refusals without id, copy idle":    {whenIdle: whole, withoutID: true},
	"copy cut in a header":              {beforeAnswer: cutInHeader},
	"copy cut after a header":           {beforeAnswer: cutAfterHeader},
	"copy without id, cut in a header":  {beforeAnswer: func(r string) string { return cutInHeader(withoutIDLine(r)) }},
	"copy cut after a header, no id":    {beforeAnswer: func(r string) string { return cutAfterHeader(withoutIDLine(r)) }, withoutID: true},
	"cut while idle":                    {whenIdle: cutAfterHeader},
	"restarts, copy while running":      {whenRunning: whole, restarts: true},
	"restarts, copy while idle":         {whenIdle: whole, restarts: true},
	"restarts, copy without id":         {whenRunning: withoutIDLine, restarts: true},
	"restarts, no id, copy":             {whenRunning: whole, restarts: true, withoutID: true},
	"not run first, cut in a header":    {beforeAnswer: cutInHeader, notRunFirst: true},
	"not run first, cut after it":       {beforeAnswer: cutAfterHeader, notRunFirst: true},
	"restarts, cut after a header":      {beforeAnswer: cutAfterHeader, notRunFirst: true, restarts: true},
	"garbage while idle":                {whenIdle: garbage},
	"garbage while running":             {whenRunning: garbage},
	"answers lost":                      {loseAnswers: true},
	"503 after a run":                   {unmarked: true},
	"refused before the body":           {early: true, whenRunning: whole},
	"refused before the body, restarts": {early: true, whenRunning: whole, restarts: true},
	"refused before the body, no id":    {early: true, whenRunning: whole, withoutID: true},
	"answered before the body":          {answerEarly: true, whenRunning: whole},
	"refusals with a body, copy":        {body: "try another one", whenRunning: whole},
	"refusals with a body, no id":       {body: "try another one", whenRunning: whole, withoutID: true},
	"copy cut in its body":              {body: "try another one", beforeAnswer: cutInBody, withoutID: true},
	"copy cut in its body, restarts":    {body: "try another one", beforeAnswer: cutInBody, restarts: true},
	"copy cut in its first line":        {beforeAnswer: cutInStatusLine, restarts: true},
	"cut in its first line, unsigned":   {beforeAnswer: cutInStatusLine, restarts: true, unsigned: true},
	"refusals cut in their body":        {body: "try another one", whenRunning: whole, brokenOff: true},
}

// faultyServer is a backend server that refuses some requests, runs the others, and
// misbehaves.
type faultyServer struct {
	standin.ServerEntry
	misbehaviour
	recorder *recorder
	// id is the current id of the server.
	id atomic.Pointer[string]
}

// restart gives the server another id, as a start of it does, and publishes it. The
// entry of the old id is withdrawn a little later.
func (f *faultyServer) restart(store *standin.Store, start int) {
	entry := f.ServerEntry
	entry.ID, entry.StartedMS = fmt.Sprintf("%s-%d", f.ID, start), int64(1+start)
	old := f.id.Swap(&entry.ID)
	store.Publish(entry, "ready")
	if old != nil {
		time.AfterFunc(100*time.Millisecond, func() { store.Withdraw(*old) })
	}
}

func (f *faultyServer) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp4", f.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
}

// serve answers the requests of one connection. A write that fails ends it, since the
// caller has closed the connection.
func (f *faultyServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	lastRefusal := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		wrong := req.Header.Get("X-Expect-Instance") != *f.id.Load()
		ok := false
		if wrong || rand.IntN(3) == 0 {
			lastRefusal = f.refusal(id, wrong)
			ok = f.refuse(c, req, lastRefusal)
		} else {
			ok = f.run(c, req, id, lastRefusal)
		}
		if !ok {
			return
		}
	}
}

// refuse writes a refusal and what the server adds to it, and reads the body of the
// request. It reports whether the connection goes on.
func (f *faultyServer) refuse(c net.Conn, req *http.Request, refusal string) bool {
	if f.early {
		_, _ = io.WriteString(c, refusal)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	if !f.early {
		if _, err := io.WriteString(c, refusal); err != nil {
			return false
		}
	}
	if f.whenIdle != nil {
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		_, _ = io.WriteString(c, f.whenIdle(refusal))
	}
	return true
}

// run runs a request and answers it, with what the server adds to the answer if it has
// refused a request on the connection before. It reports whether the connection goes on.
func (f *faultyServer) run(c net.Conn, req *http.Request, id, lastRefusal string) bool {
	if f.answerEarly {
		f.recorder.recordRun(id)
		_, err := io.WriteString(c, f.answer(id, "200 OK"))
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
		_, readErr := io.Copy(io.Discard, req.Body)
		return err == nil && readErr == nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	f.recorder.recordRun(id)
	if lastRefusal != "" && f.whenRunning != nil {
		_, _ = io.WriteString(c, f.whenRunning(lastRefusal))
	}
	time.Sleep(time.Duration(rand.IntN(15)) * time.Millisecond)
	if f.loseAnswers && rand.IntN(3) == 0 {
		return false
	}
	status := "200 OK"
	if f.unmarked && rand.IntN(3) == 0 {
		status = "503 Service Unavailable"
	}
	text := f.answer(id, status)
	if f.unsigned && rand.IntN(2) == 0 {
		text = fmt.Sprintf("HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\nX-Request-Id: %s\r\n\r\n", id)
	}
	if lastRefusal != "" && f.beforeAnswer != nil {
		text = f.beforeAnswer(lastRefusal) + text
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// answer is the text of the answer to a request that ran.
func (f *faultyServer) answer(id, status string) string {
	body := standin.Body(id)
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\n\r\n%s", status, len(body), id, *f.id.Load(), id, body)
}

// refusal is the text of a refusal.
func (f *faultyServer) refusal(id string, wrong bool) string {
	status := "503 Service Unavailable"
	if wrong {
		status = "421 Misdirected Request"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(f.body))
	text := fmt.Sprintf("X-Not-Executed: 1\r\nX-Request-Id: %s\r\n", id)
	if f.notRunFirst {
		text += length
	} else {
		text = length + text
	}
	text = fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%s", status, text, f.body)
	if f.brokenOff {
		text = cutInBody(text)
	}
	if f.withoutID {
		return withoutIDLine(text)
	}
	return text
}

// TestRefusalsAreTrue guards against a host that tells a caller "not run" for a request
// that a server ran or is running, or that sends it to a second server: because the
// server wrote an earlier refusal once more on a kept connection, whole or in part, with
// or without the id of its request. REFUSAL_SECONDS sets the length of each kind.
func TestRefusalsAreTrue(t *testing.T) {
	length := time.Duration(intFromEnv(t, "REFUSAL_SECONDS", 3)) * time.Second
	for name, m := range misbehaviours {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEmptySoak(t)
			route := standin.Route{Name: "once", Host: "a.example", Prefix: "/once/", Pool: "p", Timeout: 2 * time.Second, Target: 200 * time.Millisecond}
			s.store.Configure(s.tablesVersion, 1000, []string{"p"}, []standin.Route{route})
			var servers []*faultyServer
			for i := range 3 {
				f := &faultyServer{
					ServerEntry:  standin.ServerEntry{ID: fmt.Sprintf("i-%d", i), Pool: "p", Address: freeAddress(t), Domain: "a-1", Slots: 8, StartedMS: 1},
					misbehaviour: m, recorder: s.recorder,
				}
				f.restart(s.store, 0)
				f.start(t)
				servers = append(servers, f)
			}
			s.startOnlyHost()
			if m.restarts {
				defer restartInTurn(servers, s.store)()
			}
			statuses := s.sendUnsafe(length)
			s.recorder.checkRuns()
			t.Logf("answers by status, 0 without one: %v", statuses)
			require.Empty(t, s.recorder.violations)
			require.Positive(t, statuses[http.StatusOK])
		})
	}
}

// restartInTurn gives one server after the other a new id until stop is called.
func restartInTurn(servers []*faultyServer, store *standin.Store) (stop func()) {
	const interval = 150 * time.Millisecond
	done := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
				servers[n%len(servers)].restart(store, n)
			}
		}
	}()
	return func() { close(done) }
}

// bodySizes are the sizes of bodies in bytes. Hosts hold up to 32 KiB in memory and pass
// on the rest as it comes.
var bodySizes = []int{0, 0, 100, 1001, 40_000, 300_001}

// sendUnsafe sends requests that may not be repeated, and returns the number of answers
// by status.
func (s *soak) sendUnsafe(length time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
				id := fmt.Sprintf("%d-%d", caller, n)
				body := strings.Repeat("b", bodySizes[rand.IntN(len(bodySizes))])
				answer, err := s.sendBody(transport, s.hosts[0], true, id, body)
				mu.Lock()
				statuses[answer.Status]++
				mu.Unlock()
				s.recorder.mu.Lock()
				if err == nil && answer.PromisesNotRun() {
					s.recorder.reportedNotRun[id] = true
				}
				runs := s.recorder.runs[id]
				s.recorder.mu.Unlock()
				if runs > 1 {
					s.recorder.addViolation("request %s ran %d times", id, runs)
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond) // for requests that may still begin to run
	return statuses
}
