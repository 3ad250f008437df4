package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/restcall"
)

// Deadlines and bounds of the client.
const (
	// DefaultTimeout bounds every call but a watch.
	DefaultTimeout = 5 * time.Second
	// WatchGrace is added to the wait of a watch to get its deadline. A watch
	// that is silent for longer is taken as lost.
	WatchGrace = 5 * time.Second
	// MaxAnswerBytes bounds the body of one answer. A list of values grows by a
	// third in its JSON encoding.
	MaxAnswerBytes = 64 << 20
	// maxErrorBytes bounds the part of an error answer that is kept.
	maxErrorBytes = 512
)

// Paths of the object API.
const (
	PathObjects = "/v1/objects/"
	PathList    = "/v1/list"
	PathWatch   = "/v1/watch"
	PathHosts   = "/v1/hosts"
)

// NotAppliedHeader is set by the platform on a refusal that is certain to have
// changed nothing.
const NotAppliedHeader = "Platform-Not-Applied"

// Answers of the object API in JSON.
type (
	// ListAnswer is the answer to a list.
	ListAnswer struct {
		Objects []Object `json:"objects"`
	}
	// WatchAnswer is the answer to a watch.
	WatchAnswer struct {
		Objects []Object `json:"objects"`
		Version int64    `json:"version"`
	}
	// HostsAnswer is the answer to a call of the host list.
	HostsAnswer struct {
		Hosts []Host `json:"hosts"`
	}
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Address is the base URL, such as "http://127.0.0.1:9000".
	Address string
	// Token is sent as bearer token unless it is empty.
	Token string
	// Timeout bounds every call but a watch; 0 is DefaultTimeout.
	Timeout time.Duration
	// Wait is the time that a watch asks the platform to wait; 0 is MaxWatch.
	Wait time.Duration
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	wait    time.Duration
	http    *restcall.JSONClient
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the object API. The error says what is wrong
// with the address.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.Address)
	if err != nil {
		return nil, errors.Annotate(err, "platform address")
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("platform address %q is not an http or https URL", o.Address)
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Wait == 0 || o.Wait > MaxWatch {
		o.Wait = MaxWatch
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	client := &http.Client{Transport: httpanswer.NewTransport(transport), CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &Client{timeout: o.Timeout, wait: o.Wait, http: &restcall.JSONClient{
		Base: strings.TrimSuffix(o.Address, "/"), Token: o.Token, MaxAnswer: MaxAnswerBytes, HTTP: client, StatusError: statusError,
	}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.HTTP.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, c.timeout, http.MethodGet, objectPath(key), nil, &o)
	if err == nil && o.Key != key {
		return Object{}, errors.Annotatef(ErrUnavailable, "get %s: the answer is for %q", key, o.Key)
	}
	return o, errors.Annotatef(err, "get %s", key)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var a ListAnswer
	err := c.call(ctx, c.timeout, http.MethodGet, PathList+"?"+url.Values{"prefix": {prefix}}.Encode(), nil, &a)
	return a.Objects, errors.Annotatef(err, "list %s", prefix)
}

// Put implements Store. An error other than those that package platform names
// means that the change may have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, errors.Annotatef(ErrTooLarge, "put %s", key)
	}
	var o Object
	path := objectPath(key) + "?if_version=" + strconv.FormatInt(ifVersion, 10)
	if value == nil {
		value = []byte{}
	}
	if err := c.call(ctx, c.timeout, http.MethodPut, path, value, &o); err != nil {
		return Object{}, errors.Annotatef(err, "put %s", key)
	}
	if o.Key != key || o.Version <= ifVersion {
		return Object{}, errors.Errorf("put %s: the answer is for %q at version %d", key, o.Key, o.Version)
	}
	o.Value = bytes.Clone(value)
	return o, nil
}

type waitKey struct{}

// WithWait limits the wait of watches with the context. A wait of 0 makes a
// watch a poll that returns only what changed.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// WaitOf returns the wait set by WithWait, or otherwise.
func WaitOf(ctx context.Context, otherwise time.Duration) time.Duration {
	if wait, ok := ctx.Value(waitKey{}).(time.Duration); ok {
		return max(0, min(wait, MaxWatch))
	}
	return otherwise
}

// Watch implements Store. If the version that it returns is below after, the
// platform's store was restored to an older state, and only a List shows what
// it holds.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error) {
	wait := WaitOf(ctx, c.wait)
	query := url.Values{
		"prefix": {prefix}, "after": {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var a WatchAnswer
	err := c.call(ctx, wait+WatchGrace, http.MethodGet, PathWatch+"?"+query.Encode(), nil, &a)
	return a.Objects, a.Version, errors.Annotatef(err, "watch %s", prefix)
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var a HostsAnswer
	err := c.call(ctx, c.timeout, http.MethodGet, PathHosts, nil, &a)
	return a.Hosts, errors.Annotate(err, "hosts")
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return PathObjects + strings.Join(segments, "/")
}

// call sends one request and decodes its answer. A failure of a read is always
// ErrUnavailable because a read changes nothing; a failure of a write is so only
// if the request was never sent or the platform said that nothing changed.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, into any) error {
	sent, err := c.http.Call(ctx, timeout, method, path, body, into)
	if err != nil && !isKnown(err) && (method == http.MethodGet || !sent) {
		return errors.WithType(err, ErrUnavailable)
	}
	return err
}

func isKnown(err error) bool {
	for _, known := range []error{ErrNotFound, ErrConflict, ErrTooLarge, ErrUnavailable} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func statusError(answer *http.Response) error {
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	message := answer.Status + ": " + strings.TrimSpace(string(text))
	switch {
	case answer.StatusCode == http.StatusNotFound:
		return errors.Annotate(ErrNotFound, message)
	case answer.StatusCode == http.StatusConflict:
		return errors.Annotate(ErrConflict, message)
	case answer.StatusCode == http.StatusRequestEntityTooLarge:
		return errors.Annotate(ErrTooLarge, message)
	case isRefusal(answer.StatusCode) || answer.Header.Get(NotAppliedHeader) != "":
		return errors.Annotate(ErrUnavailable, message)
	}
	return errors.New(message)
}

// isRefusal reports whether status means that the request was rejected as sent.
// 408 is left out: it does not say how much of the request was handled.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}
