package steer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

// Names holds the paths and header names of a deployment's wire protocol, and the
// functions that depend on its formats.
type Names struct {
	// LookupPath is the path at which callers look up entry hosts.
	LookupPath string
	// LookupDomain returns the failure domain of the caller of a look-up.
	LookupDomain func(*http.Request) string
	// LookupAnswer returns the value that is encoded as JSON in the answer to a
	// look-up: the addresses of hosts, and how long the caller may cache them.
	LookupAnswer func(addresses []string, life time.Duration) any
	// ReadyPath is the path of the readiness check: whether this host accepts
	// callers.
	ReadyPath string
	// Headers are the header names of requests and answers.
	Headers forward.Headers
	// ServerLoad is the header in which backend servers report their running
	// requests, waiting requests and slots, and how long work takes at the moment.
	ServerLoad string
	// AffinityKey returns the key of the object that a request is about, or "".
	// Requests of a sticky route with the same key prefer the same server.
	AffinityKey func(*http.Request) string
}

// ErrHistoryGone means that a watch cannot continue, because the store has dropped
// changes after the watched revision, and that a new list is needed.
const ErrHistoryGone = errors.ConstError("the store no longer has the changes after the watched revision")

// ErrEraChanged means that the store has come back from an older copy, and that a new
// list is needed.
const ErrEraChanged = errors.ConstError("the store has come back from an older copy")

// Source reads the platform's store and publishes this host. Errors of List and Watch
// other than ErrHistoryGone, ErrEraChanged and those of feed.Eras mean that the store
// did not answer.
type Source interface {
	// Era returns the highest era that the store has named in any answer, and a channel
	// that is closed when it names a higher one.
	Era() (int64, <-chan struct{})
	// LastEra returns the era that the last answer of the store has named.
	LastEra() int64
	// List returns all objects of a kind.
	List(ctx context.Context, kind feed.Kind) (feed.Changes, error)
	// Watch returns the changes after a position. It waits up to wait for the first
	// one. It returns ErrHistoryGone if the store no longer has all of them, and
	// ErrEraChanged if the position belongs to an earlier era.
	Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Changes, error)
	// Register publishes this host in the store and returns the era of the store that
	// has the entry.
	Register(ctx context.Context, h fleet.EntryHost) (era int64, err error)
	// Hosts returns the published entry hosts, and the entries among them that could
	// not be read. The list may be seconds old.
	Hosts(ctx context.Context) ([]fleet.EntryHost, []feed.Unreadable, error)
}
