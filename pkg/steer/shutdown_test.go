package steer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keptConns opens connections to a host and uses each once.
func keptConns(t *testing.T, h *Host, count int) (list []*bufio.ReadWriter) {
	t.Helper()
	for i := range count {
		conn, err := net.Dial("tcp4", h.self.CallerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		rw := bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriterSize(conn, 512))
		status, err := exchangeOn(rw, fmt.Sprintf("GET /none HTTP/1.1\r\nHost: a.example\r\nReq-Id: kept-%d\r\n\r\n", i))
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, status)
		list = append(list, rw)
	}
	return list
}

// exchangeOn sends a request on a connection and reads its answer.
func exchangeOn(rw *bufio.ReadWriter, text string) (int, error) {
	if _, err := rw.WriteString(text); err != nil {
		return 0, err
	}
	if err := rw.Flush(); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(rw.Reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a shutdown that closes a kept connection on which it has just read a
// request, and passes the request on: the server runs it and the caller gets no answer.
// The more connections are closed at once, the longer each may take.
func TestShutdownAnswersWhatItPassesOn(t *testing.T) {
	const conns = 1500
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK, "s2": answerOK, "s3": answerOK})
	kept := keptConns(t, h, conns)
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- h.Shutdown(context.Background()) }()
	// The requests are spread over the time in which the connections are closed.
	const first, spread = 2950 * time.Millisecond, 600 * time.Millisecond
	var mu sync.Mutex
	unanswered := map[string]error{}
	answered := 0
	var wg sync.WaitGroup
	for i, rw := range kept {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(first + spread*time.Duration(i)/conns)))
			id := fmt.Sprint("late-", i)
			_, err := exchangeOn(rw, fmt.Sprintf("GET /safe/%d HTTP/1.1\r\nHost: a.example\r\nReq-Id: %s\r\nLeft-Ms: 2000\r\n\r\n", i, id))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered[id] = err
			} else {
				answered++
			}
		})
	}
	wg.Wait()
	require.NoError(t, <-stopped)
	require.Positive(t, answered, "no request arrived while connections were being closed")
	for _, s := range servers {
		for _, id := range s.ids {
			require.NoError(t, unanswered[id], "request %s ran", id)
		}
	}
}

// answerAtDeadline is a server that works until the deadline of a request, and then
// answers 504. The answer is on its way for a while.
func answerAtDeadline(w http.ResponseWriter, r *http.Request) {
	ms, _ := strconv.Atoi(r.Header.Get("Left-Ms"))
	time.Sleep(time.Duration(ms)*time.Millisecond + deadlineAnswerSlack/2)
	w.WriteHeader(http.StatusGatewayTimeout)
}

// Guards against a request that is taken late in a shutdown and cut off at its end: one
// whose server answers just after the deadline, and one that may not be repeated and
// lasts longer than the process.
func TestLateRequestsAreNotCut(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration // from the beginning of the shutdown
		left  time.Duration // until the request's deadline
		path  string
	}{
		"ends with the process":  {3900 * time.Millisecond, 1790 * time.Millisecond, "/safe/x"},
		"ends just before":       {3900 * time.Millisecond, 1750 * time.Millisecond, "/once/x"},
		"not repeatable, longer": {2500 * time.Millisecond, 4 * time.Second, "/long-once/x"},
		"sent late, longer":      {2950 * time.Millisecond, 4 * time.Second, "/long/x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerAtDeadline, "s2": answerAtDeadline})
			conn, err := net.Dial("tcp4", h.self.CallerAddress)
			require.NoError(t, err)
			defer conn.Close()
			stopped := make(chan error, 1)
			began := time.Now()
			go func() { stopped <- h.Shutdown(context.Background()) }()
			time.Sleep(time.Until(began.Add(tc.after)))
			_, err = exchangeOn(bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn)), fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nReq-Id: late\r\nLeft-Ms: %d\r\nContent-Length: 0\r\n\r\n", tc.path, tc.left.Milliseconds()))
			require.NoError(t, err, "cut after %s", time.Since(began))
			require.NoError(t, <-stopped)
		})
	}
}

// Guards against a shutdown that waits for its end although only an idle HTTP/2
// connection is open, on which bytes arrive that are no request.
func TestShutdownClosesIdleHTTP2Connections(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest("GET", "http://"+h.self.CallerAddress+"/safe/x", nil)
	require.NoError(t, err)
	req.Host = "a.example"
	req.Header.Set("Req-Id", "1")
	resp, err := transport.RoundTrip(req)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, 2, resp.ProtoMajor)
	began := time.Now()
	require.NoError(t, h.Shutdown(context.Background()))
	require.Less(t, time.Since(began), 5*time.Second)
}
