package forward

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// wireAnswer is the text of an answer as a server writes it.
type wireAnswer struct {
	status int
	ran    bool // whether the server ran the request
	stamp  bool
	body   string // as the caller has to get it
	text   string // with ID for the id of the request
}

func (a wireAnswer) to(id string) string { return strings.ReplaceAll(a.text, "ID", id) }

// wireAnswers are the kinds of answers that servers give.
var wireAnswers = func() map[string]wireAnswer {
	const (
		id     = "X-Request-Id: ID\r\n"
		mark   = "X-Not-Executed: 1\r\n"
		stamp  = "X-Server-Stamp: s.ID\r\n"
		other  = "X-Instance-Id: i-9\r\n"
		empty  = "Content-Length: 0\r\n\r\n"
		five   = "Content-Length: 5\r\n\r\n"
		shed   = "HTTP/1.1 503 Service Unavailable\r\n"
		wrong  = "HTTP/1.1 421 Misdirected Request\r\n"
		failed = "HTTP/1.1 500 Internal Server Error\r\n"
	)
	return map[string]wireAnswer{
		"200":             {200, true, true, "hello", "HTTP/1.1 200 OK\r\n" + id + stamp + five + "hello"},
		"200, chunks":     {200, true, true, "hello", "HTTP/1.1 200 OK\r\n" + id + stamp + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		"200 without id":  {200, true, true, "hello", "HTTP/1.1 200 OK\r\n" + stamp + five + "hello"},
		"204":             {204, true, true, "", "HTTP/1.1 204 No Content\r\n" + id + stamp + "\r\n"},
		"500":             {500, true, true, "sorry", failed + five[:len(five)-2] + id + stamp + "\r\nsorry"},
		"500, no stamp":   {500, true, false, "", failed + id + empty},
		"500 without id":  {500, true, false, "", failed + empty},
		"504":             {504, true, false, "", "HTTP/1.1 504 Gateway Timeout\r\n" + id + empty},
		"503":             {503, false, false, "", shed + mark + id + empty},
		"503, mark last":  {503, false, false, "", shed + id + "Content-Length: 0\r\nRetry-After: 1\r\n" + mark + "\r\n"},
		"503 with a body": {503, false, false, "later", shed + mark + id + five + "later"},
		"503 without id":  {503, false, false, "", shed + mark + empty},
		"429":             {429, false, false, "", "HTTP/1.1 429 Too Many Requests\r\n" + mark + id + empty},
		"421":             {421, false, false, "", wrong + other + id + empty},
		"421, id first":   {421, false, false, "", wrong + id + other + empty},
		"421 with a mark": {421, false, false, "", wrong + id + mark + other + empty},
		"421 without id":  {421, false, false, "", wrong + other + empty},
	}
}()

// wireHeaders are the names that wireAnswers use.
func wireHeaders() Headers {
	return Headers{
		RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", NotRun: "X-Not-Executed", ExpectServer: "X-Expect-Instance",
		ServerID: "X-Instance-Id", ServersEchoID: true, Stamp: "X-Server-Stamp",
	}
}

// parts returns each beginning and each end of a text, and the whole of it.
func parts(text string) []string {
	list := []string{text}
	for i := 1; i < len(text); i++ {
		list = append(list, text[:i], text[i:])
	}
	return list
}

// Guards against a part of an earlier answer that a server writes once more on a kept
// connection, directly before the answer to the next request: "not run" for a request
// that ran, or a status or body that the server did not give to it. All parts that begin
// or end with the earlier answer are tried.
func TestPartOfAnEarlierAnswer(t *testing.T) {
	log.SetOutput(io.Discard) // net/http writes a line for each part on an idle connection
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	for earlierName, earlier := range wireAnswers {
		for nextName, next := range wireAnswers {
			t.Run(earlierName+" before "+nextName, func(t *testing.T) {
				t.Parallel()
				bubble(t, Config{Headers: wireHeaders()}, func(t *testing.T, env *testEnv) {
					part := ""
					env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
						answered := false
						for {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, req.Body)
							id, text := req.Header.Get("X-Request-Id"), wireAnswers["200"].to("r2")
							switch {
							case id == "r0":
								text = earlier.to(id)
							case id == "r1" && answered:
								text = part + next.to(id)
							case id == "r1":
								text = next.to(id)
							}
							answered = true
							_, _ = io.WriteString(c, text)
						}
					})
					for _, part = range parts(earlier.to("r0")) {
						env.sendThree(fmt.Sprintf("%q before %s", part, nextName), next)
					}
				})
			})
		}
	}
}

// sendThree sends the writes r0, r1 and r2 and checks what r1, which is answered with
// next, and r2 get.
func (env *testEnv) sendThree(name string, next wireAnswer) {
	f := New(env.f.cfg)
	defer f.Close()
	for _, id := range []string{"r0", "r1", "r2"} {
		a, err := f.Do(env.t.Context(), Request{
			In: request("POST", "/orders", "kit"), Server: "b:80", Once: true, RequestID: id, ExpectServer: "i-1", DeadlineAt: time.Now().Add(time.Second),
		})
		if id == "r2" {
			next = wireAnswers["200"]
		}
		if err != nil {
			if id != "r0" && err.Run == result.NotRun && next.ran {
				require.Fail(env.t, "not run", "%s: %s ran, but: %v", name, id, err)
			}
			continue
		}
		w := httptest.NewRecorder()
		_, err = a.CopyTo(w)
		if id == "r0" || err != nil {
			continue // what was cut off after the status aborts the caller's connection
		}
		if w.Code != next.status || w.Body.String() != next.body || (w.Header().Get("X-Server-Stamp") == "s."+id) != next.stamp {
			require.Fail(env.t, "not the answer of the server", "%s: %s got %d %v %q", name, id, w.Code, w.Header(), w.Body)
		}
	}
}

// Guards against a length in the head of an answer that has no body: a caller that waits
// for it takes the beginning of the next answer for the body.
func TestAnswerWithoutABodyHasNoLength(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n"+HeaderRequestID+": r1\r\nContent-Length: 5\r\n\r\n")
			}
		})
		env.entry(Limits{}, 0)
		c := env.sendRaw("PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		r := bufio.NewReader(c)
		head := ""
		for !strings.HasSuffix(head, "\r\n\r\n") {
			line, err := r.ReadString('\n')
			require.NoError(t, err)
			head += line
		}
		require.Contains(t, head, "204 No Content")
		require.NotContains(t, head, "Content-Length")
	})
}
