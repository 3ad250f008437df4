package forward

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const longBody = 16 << 20

// serveLong starts a server "b" that answers /long with a long body, and all else at once.
func (env *testEnv) serveLong() {
	env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := "short"
		if r.URL.Path == "/long" {
			body = strings.Repeat("x", longBody)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // an error means that the host has closed the connection
	})})
}

// ask sends a request to the entry host and returns a reader of its answer.
func (env *testEnv) ask(path string) *bufio.Reader {
	return bufio.NewReader(env.sendRaw("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
}

// Guards against callers that read long answers slowly and so keep all connections to a
// server from others: the slowest one is cut off, and sees that its answer is cut.
func TestSlowReaderIsCutForOthers(t *testing.T) {
	for name, cfg := range map[string]Config{
		"limit of the server":     {ConnsPerServer: 1},
		"limit of all servers":    {MaxConns: 1},
		"limit of passed answers": {MaxStreams: 1},
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			cfg.OnSlowReader = func() { cut++ }
			bubble(t, cfg, func(t *testing.T, env *testEnv) {
				env.serveLong()
				env.entry(Limits{}, 0)
				slow := env.ask("/long")
				synctest.Wait()
				time.Sleep(time.Second)
				resp, err := http.ReadResponse(env.ask("/long"), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				n, err := io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.EqualValues(t, longBody, n)
				require.Equal(t, 1, cut)
				resp, err = http.ReadResponse(slow, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			})
		})
	}
}

// Guards against cutting off a caller that has only just paused, and against one that reads
// slowly and is cut off although nobody needs its connection.
func TestSlowReaderIsServedInCalm(t *testing.T) {
	bubble(t, Config{ConnsPerServer: 1}, func(t *testing.T, env *testEnv) {
		env.serveLong()
		env.entry(Limits{}, 0)
		slow := env.ask("/long")
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		resp, err := http.ReadResponse(env.ask("/short"), nil)
		require.NoError(t, err)
		require.Equal(t, result.ConnsInUse.Name(), resp.Header.Get(HeaderCode))
		require.Equal(t, string(result.NotRun), resp.Header.Get(HeaderRun))
		resp, err = http.ReadResponse(slow, nil)
		require.NoError(t, err)
		for range 10 {
			time.Sleep(time.Second)
			_, err = io.CopyN(io.Discard, resp.Body, longBody/10)
			require.NoError(t, err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.EqualValues(t, longBody%10, n)
	})
}

// Guards against uploads that a server does not read and that take all connections to it.
func TestUploadsLeaveConnections(t *testing.T) {
	bubble(t, Config{ConnsPerServer: 2, UploadsPerServer: 1}, func(t *testing.T, env *testEnv) {
		env.serve("b", &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				time.Sleep(10 * time.Second)
			}
		})})
		upload := func() *result.Error {
			_, err := env.do(Request{In: request("POST", "/", strings.Repeat("x", 2*BufferBytes)), DeadlineAt: time.Now().Add(5 * time.Second)})
			return err
		}
		first := make(chan *result.Error, 1)
		go func() { first <- upload() }()
		synctest.Wait()
		env.requireError(result.ConnsInUse, result.NotRun, upload())
		_, err := env.get("/", time.Second)
		require.Nil(t, err)
		env.requireError(result.DeadlineRunning, result.Unknown, <-first)
		synctest.Wait()
		env.requireError(result.DeadlineRunning, result.Unknown, upload())
		time.Sleep(20 * time.Second) // the server's handlers end
	})
}
