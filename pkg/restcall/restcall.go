// Package restcall makes HTTP calls whose answers are JSON. Each call has a
// timeout and a limit on the size of its answer, and reports whether the request
// may have been sent. The clients of the object stores in pkg/platform and in the
// platform adapter are built on it.
package restcall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// JSONClient is a client of one HTTP server. It is safe for concurrent use.
type JSONClient struct {
	// Base is the URL that precedes the path of each call.
	Base string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// ContentType is the content type of the request bodies.
	ContentType string
	// MaxAnswer limits the body of an answer, in bytes.
	MaxAnswer int64
	HTTP      *http.Client
	// StatusError returns the error for the status of an answer, or nil if the
	// status means success.
	StatusError func(*http.Response) error
}

// Call sends one request and decodes its answer into out, unless out is nil. If
// out is a *[]byte, it receives the answer as it was sent.
// sent is false if the request certainly was not sent, not even in part.
func (c *JSONClient) Call(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) (sent bool, err error) {
	_, sent, err = c.CallForHeader(ctx, timeout, method, path, body, out)
	return sent, err
}

// CallForHeader is Call that also returns the header of the answer, also of one whose
// status is an error, and nil if there was no answer.
func (c *JSONClient) CallForHeader(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) (header http.Header, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if len(body) > 0 && c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, connected.Load(), errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }() // an error no longer changes the outcome of the call
	if err := c.StatusError(resp); err != nil {
		return resp.Header, true, err
	}
	return resp.Header, true, c.decode(resp.Body, out)
}

func (c *JSONClient) decode(body io.Reader, out any) error {
	limited := &io.LimitedReader{R: body, N: c.MaxAnswer + 1}
	raw, err := io.ReadAll(limited)
	if err != nil {
		return errors.Annotate(err, "read answer")
	}
	if int64(len(raw)) > c.MaxAnswer {
		return errors.Errorf("the answer is larger than %d bytes", c.MaxAnswer)
	}
	switch out := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*out = raw
		return nil
	}
	return errors.Annotate(json.Unmarshal(raw, out), "decode answer")
}
