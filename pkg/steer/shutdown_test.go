package steer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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

// Guards against a close of an idle connection that is not called off when a request
// has arrived that nobody has read yet, and against a read deadline that outlasts the
// close that was called off.
func TestRequestThatCrossesAClose(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := callerListener{l}.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	c := accepted.(*callerConn)
	require.False(t, c.closeIfIdle(), "nothing has arrived yet")
	c.setIdle()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(caller, "first")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnreadData(c.Conn) }, waitTimeout, time.Millisecond)
	require.True(t, c.closeIfIdle())
	b := make([]byte, 100)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "first", string(b[:n]))
	require.False(t, c.closeIfIdle(), "a request is in progress")
	// The deadline of the close no longer holds.
	time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(caller, "second") })
	n, err = c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "second", string(b[:n]))
	c.setIdle()
	require.True(t, c.closeIfIdle())
	_, err = c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
