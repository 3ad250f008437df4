package conns

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testListener is a Listener on a loopback address that accepts in the background.
type testListener struct {
	*Listener
	t        *testing.T
	accepted chan *Conn
	mu       sync.Mutex
	reasons  []Reason
}

func listen(t *testing.T, cfg Config) *testListener {
	t.Helper()
	l := &testListener{t: t, accepted: make(chan *Conn, 100)}
	cfg.OnTurnedAway = func(r Reason) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reasons = append(l.reasons, r)
	}
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l.Listener = NewListener(opened, cfg)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			l.accepted <- c.(*Conn)
		}
	}()
	return l
}

func (l *testListener) turnedAwayFor() []Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reasons
}

// dial opens a connection and returns both ends.
func (l *testListener) dial() (*Conn, net.Conn) {
	l.t.Helper()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = client.Close() })
	select {
	case c := <-l.accepted:
		return c, client
	case <-time.After(waitTimeout):
		require.FailNow(l.t, "the connection was not accepted")
		return nil, nil
	}
}

// requireClosed checks that the host has closed the connection of a client.
func requireClosed(t *testing.T, client net.Conn) {
	t.Helper()
	require.NoError(t, client.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := client.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a full listener that turns an ordinary client away while others hold their
// connections for nothing, and against one that closes a connection whose request is being
// served.
func TestFullListenerMakesPlace(t *testing.T) {
	l := listen(t, Config{MaxConns: 3})
	busy, _ := l.dial()
	busy.setActive()
	busy.Begin()
	_, silent := l.dial()
	waiting, waitingClient := l.dial()
	waiting.setActive()
	waiting.Begin()
	waiting.BeginWait()
	waiting.mu.Lock()
	waiting.waited = time.Second // in earlier parts of its body
	waiting.mu.Unlock()
	for _, expected := range []struct {
		client net.Conn
		reason Reason
	}{{waitingClient, ReasonWaiting}, {silent, ReasonSilent}} {
		next, _ := l.dial()
		next.setActive()
		next.Begin()
		requireClosed(t, expected.client)
		require.Equal(t, expected.reason, l.turnedAwayFor()[len(l.turnedAwayFor())-1])
		require.Equal(t, 3, l.Count().Open)
	}
	// All connections are busy now.
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	requireClosed(t, client)
	require.Equal(t, ReasonFull, l.turnedAwayFor()[2])
	// One that becomes idle makes place, and its reader closes it.
	busy.End(false)
	busy.setIdle()
	l.dial()
	require.Equal(t, ReasonIdle, l.turnedAwayFor()[3])
	_, err = busy.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, busy.Close())
	require.Equal(t, 3, l.Count().Open)
}

// Guards against a client of HTTP/2 that opens and cancels streams faster than they can be
// served, and against one that is cut off although it lets most of them end.
func TestCancelledStreams(t *testing.T) {
	reset := func(stream uint32) []byte {
		b := make([]byte, 13)
		b[2], b[3] = 4, frameReset
		binary.BigEndian.PutUint32(b[5:], stream)
		return b
	}
	data := append(make([]byte, 9), "RST"...) // a frame of another kind, whose payload is skipped
	data[2] = 3
	for _, c := range []struct {
		name         string
		endedPerStep int
		closed       bool
	}{{"none ends", 0, true}, {"most end", 3, false}} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t, Config{MaxConns: 1})
			conn, client := l.dial()
			go func() {
				for _, part := range []string{"P", "R", "I * HTTP/2.0\r\n\r\nSM\r\n\r\n"} {
					_, _ = io.WriteString(client, part) // an error shows in the test
					time.Sleep(time.Millisecond)
				}
				for i := range 300 {
					part := append(reset(uint32(2*i+1)), data...)
					_, _ = client.Write(part[:i%len(part)]) // in two parts, at each place
					_, _ = client.Write(part[i%len(part):])
				}
				_ = client.Close()
			}()
			var err error
			for b := make([]byte, 22); err == nil; {
				for range c.endedPerStep {
					conn.Begin()
					conn.End(false)
				}
				_, err = conn.Read(b)
			}
			if c.closed {
				require.NotErrorIs(t, err, io.EOF)
				require.Equal(t, []Reason{ReasonCancels}, l.turnedAwayFor())
				return
			}
			require.ErrorIs(t, err, io.EOF)
			require.EqualValues(t, 300, conn.streams.cancelled)
			require.Empty(t, l.turnedAwayFor())
		})
	}
}

// Guards against one HTTP/2 connection whose many streams wait for their client and take all
// requests: it is closed when another request needs the place.
func TestManyWaitingStreams(t *testing.T) {
	l := listen(t, Config{MaxConns: 2, MaxRequests: 3})
	many, manyClient := l.dial()
	ordinary, _ := l.dial()
	served, rejected := 0, 0
	handler := marked(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { rejected++ })))
	ask := func(c *Conn) {
		handler.ServeHTTP(httptest.NewRecorder(), (&http.Request{}).WithContext(Context(context.Background(), c)))
	}
	for range 3 {
		require.True(t, l.beginRequest())
		many.Begin()
	}
	ask(ordinary)
	require.Equal(t, []int{0, 1}, []int{served, rejected}, "all requests are being served")
	many.BeginWait()
	many.BeginWait()
	ask(ordinary)
	require.Equal(t, []int{1, 1}, []int{served, rejected})
	requireClosed(t, manyClient)
	require.Equal(t, []Reason{ReasonFull, ReasonWaiting}, l.turnedAwayFor())
}

// Guards against a caller that stalls a little at a time and so never seems to wait for long.
func TestWaitsAddUp(t *testing.T) {
	l := listen(t, Config{MaxConns: 1})
	c, _ := l.dial()
	c.setActive()
	c.Begin()
	for range 3 {
		c.BeginWait()
		time.Sleep(20 * time.Millisecond)
		c.EndWait()
	}
	c.BeginWait()
	require.GreaterOrEqual(t, time.Since(c.state().Since), 60*time.Millisecond)
	c.EndWait()
	c.End(false)
	c.Begin()
	c.BeginWait()
	require.Less(t, time.Since(c.state().Since), 60*time.Millisecond, "of an earlier request")
}

// Guards against clients that send requests ahead and so keep their places on a crowded
// listener, and against closing the connections of those that wait for their answers.
func TestRequestsSentAhead(t *testing.T) {
	for _, c := range []struct {
		name           string
		ahead, crowded bool
		closed         bool
	}{{"ahead", true, true, true}, {"ahead in calm", true, false, false}, {"in turn", false, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t, Config{MaxConns: 4, Overloaded: func() bool { return c.crowded }})
			answered := make(chan struct{}, 10)
			srv := &http.Server{ConnContext: Context, ConnState: l.Track, Handler: marked(l.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "answer")
				answered <- struct{}{}
			}), nil))}
			defer srv.Close()
			conn, client := l.dial()
			go func() { _ = srv.Serve(&oneConn{conn: conn}) }()
			const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			client.SetDeadline(time.Now().Add(waitTimeout))
			text := request
			if c.ahead {
				text += request + request
			}
			_, err := io.WriteString(client, text)
			require.NoError(t, err)
			br := bufio.NewReader(client)
			closed := false
			for range 3 {
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				if closed = resp.Close; closed {
					break
				}
				if !c.ahead {
					<-answered
					_, err = io.WriteString(client, request)
					require.NoError(t, err)
				}
			}
			require.Equal(t, c.closed, closed)
		})
	}
}

// marked calls Begin and End around a handler.
func marked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.Begin()
		defer c.End(false)
		next.ServeHTTP(w, r)
	})
}

// Guards against memory that fills with heads that do not end: the longest one goes first,
// and a head that has arrived whole no longer counts.
func TestLongHeads(t *testing.T) {
	l := listen(t, Config{MaxConns: 10, HeadBytes: 10_000})
	send := func(c *Conn, client net.Conn, n int) {
		_, err := client.Write(make([]byte, n))
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, n))
		require.NoError(t, err)
	}
	whole, wholeClient := l.dial()
	send(whole, wholeClient, 6_000)
	whole.Begin()
	long, longClient := l.dial()
	send(long, longClient, 6_000)
	short, shortClient := l.dial()
	send(short, shortClient, 4_000)
	require.Empty(t, l.turnedAwayFor())
	send(short, shortClient, 1)
	requireClosed(t, longClient)
	require.Equal(t, []Reason{ReasonMemory}, l.turnedAwayFor())
	require.EqualValues(t, 4_001, l.headBytes.Load())
	require.NoError(t, short.Close())
	require.Zero(t, l.headBytes.Load())
	send(whole, wholeClient, 20_000) // of its body
	require.Zero(t, l.headBytes.Load())
}

// oneConn is a listener that accepts one connection.
type oneConn struct{ conn net.Conn }

func (l *oneConn) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
