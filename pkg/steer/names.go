package steer

import (
	"context"
	"net/http"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

// Names are the paths and header names of a deployment's wire protocol.
type Names struct {
	// LookupPath answers callers that ask for entry hosts.
	LookupPath string
	// ReadyPath answers whether this host takes callers.
	ReadyPath string
	Headers   forward.Headers
	// Stamp is the header by which a server signs its answer.
	Stamp string
	// ServerID, ServerLoad and ColdFor are headers of servers: their id, their
	// running and waiting requests and slots, and how long they stay cold in ms.
	ServerID, ServerLoad, ColdFor string
	// AffinityKey returns the key of the object that a request concerns, or "".
	AffinityKey func(*http.Request) string
}

// Source delivers what the platform's store holds and publishes this host.
type Source interface {
	// Run delivers changes to the sink until ctx ends.
	Run(ctx context.Context, sink Sink) error
	// Register publishes this host.
	Register(ctx context.Context, h fleet.EntryHost) error
	// Unregister removes the entry of a host that is gone.
	Unregister(ctx context.Context, name string) error
	// Hosts returns the published hosts; the list may be seconds old.
	Hosts(ctx context.Context) ([]fleet.EntryHost, error)
}

// Sink takes what a Source delivers. Calls are concurrent.
type Sink interface {
	// SetTable takes a version of the tables.
	SetTable(*fleet.Table)
	// SetServers takes all backend servers.
	SetServers([]fleet.Server)
	// SetEvacuated takes the failure domains whose servers get no requests.
	SetEvacuated(domains []string)
	// StoreAnswered and StoreFailed report each call for a kind of objects.
	StoreAnswered(kind string)
	StoreFailed(kind string, err error)
}
