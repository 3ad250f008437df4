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

// Names are the paths and header names of a deployment's wire protocol.
type Names struct {
	// LookupPath answers callers that ask for entry hosts. LookupDomain returns
	// the failure domain of the caller, and LookupAnswer the body, encoded as
	// JSON, that names hosts by address and how long the answer may be kept.
	LookupPath   string
	LookupDomain func(*http.Request) string
	LookupAnswer func(addresses []string, life time.Duration) any
	// ReadyPath answers whether this host takes callers.
	ReadyPath string
	Headers   forward.Headers
	// ServerLoad is the header by which servers tell their running and waiting
	// requests and their slots.
	ServerLoad string
	// AffinityKey returns the key of the object that a request concerns, or "".
	AffinityKey func(*http.Request) string
}

// ErrHistoryGone means that a watch cannot continue and a new list is needed.
const ErrHistoryGone = errors.ConstError("the store no longer has the history")

// Source reads the platform's store and publishes this host. Errors of its
// calls mean that the store did not answer.
type Source interface {
	// List returns all items of a kind.
	List(ctx context.Context, kind feed.Kind) (feed.Changes, error)
	// Watch waits up to wait for changes after a revision, or returns
	// ErrHistoryGone.
	Watch(ctx context.Context, kind feed.Kind, after int64, wait time.Duration) (feed.Changes, error)
	// Register publishes this host.
	Register(ctx context.Context, h fleet.EntryHost) error
	// Hosts returns the published hosts; the list may be seconds old.
	Hosts(ctx context.Context) ([]fleet.EntryHost, error)
}
