// Package platform is the client of the platform's object API. Everything that
// has to be agreed between entry hosts or kept longer than a process goes
// through it.
package platform

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// MaxWatch is the longest time that one watch call waits at the platform.
const MaxWatch = 30 * time.Second

// Errors of a Store. Any other error means that the outcome is unknown: a
// change may have taken effect.
const (
	ErrNotFound = errors.ConstError("object not found")
	ErrConflict = errors.ConstError("object version conflict")
	ErrTooLarge = errors.ConstError("object larger than 1 MB")
	// ErrUnavailable means that the platform refused the call before doing
	// anything.
	ErrUnavailable = errors.ConstError("platform unavailable")
)

// Object is a versioned value. Versions come from one counter of the whole
// store, so they order all changes.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Host is an entry of the platform's list of hosts, which lags behind.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Leaving is true once the platform plans to take the host away.
	Leaving bool `json:"leaving"`
}

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key begins with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put stores value if the object's version is ifVersion, where 0 means
	// that the object does not exist. It returns ErrConflict otherwise.
	Put(ctx context.Context, key string, value []byte, ifVersion int64) (Object, error)
	// Watch waits until an object with the prefix has a version above after
	// and returns the changed objects with the store's version. It returns no
	// objects after MaxWatch.
	Watch(ctx context.Context, prefix string, after int64) ([]Object, int64, error)
	// Hosts returns the platform's list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// Keys of the system's objects.
const (
	TablesPrefix  = "tables/"
	HistoryPrefix = "history/"
	BlocksPrefix  = "blocks/"
	StatusPrefix  = "status/"
	KeysPrefix    = "keys/"
)
