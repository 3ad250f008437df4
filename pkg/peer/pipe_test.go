package peer

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/pipenet"
)

// network connects meshes through an in-memory network, so that tests run in
// virtual time.
type network struct{ *pipenet.Network }

// node is a mesh with its HTTP server. It records the received messages and the
// reported errors, and replies to every call except those of KindSlotHeld, which a
// test answers itself or leaves unanswered.
type node struct {
	*Mesh
	t    tomb.Tomb
	stop func()

	mu   sync.Mutex
	got  []Message
	from []Identity
	errs []*result.Error
}

var testKey = []byte("0123456789abcdef0123456789abcdef")

func (n *network) node(t *testing.T, name string, change func(*Config)) *node {
	t.Helper()
	nd := &node{}
	cfg := Config{
		Self: Identity{name, 1}, Key: testKey, Dial: n.Dial, Seed: 1,
		Handler: func(from Identity, m Message) {
			nd.mu.Lock()
			nd.got, nd.from = append(nd.got, m), append(nd.from, from)
			nd.mu.Unlock()
			if m.IsCall() && m.Kind != KindSlotHeld {
				m.Reply(Message{Kind: KindSlotGrant, Payload: m.Payload})
			}
		},
		OnError: func(_ string, err *result.Error) {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			nd.errs = append(nd.errs, err)
		},
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	nd.Mesh, err = New(cfg)
	require.NoError(t, err)
	nd.Start(&nd.t)
	closeServer := n.Serve(name, &http.Server{Handler: nd.Mesh})
	nd.stop = sync.OnceFunc(func() {
		nd.t.Kill(nil)
		assert.NoError(t, nd.t.Wait())
		closeServer()
	})
	t.Cleanup(nd.stop)
	return nd
}

func (nd *node) count() int {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return len(nd.got)
}

// message returns the i-th received message and its sender.
func (nd *node) message(i int) (Identity, Message) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.from[i], nd.got[i]
}

// codes returns the result codes of all reported errors.
func (nd *node) codes() []result.Code {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	var out []result.Code
	for _, e := range nd.errs {
		out = append(out, e.Code)
	}
	return out
}

// bubble runs f in a synctest bubble, which has virtual time, with a new network.
func bubble(t *testing.T, f func(t *testing.T, n *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, &network{pipenet.New()}) })
}
