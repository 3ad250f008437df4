// Package memstore is an in-memory platform store with controllable faults. It
// is the store behind the HTTP stand-in and the fake of tests under virtual
// time.
package memstore

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
)

// ErrAnswerLost is returned by a Put that took effect and whose answer a fault
// suppresses. A client of the platform sees it as an unknown outcome.
const ErrAnswerLost = errors.ConstError("answer lost after the change took effect")

// Counts are the calls since the start. A watch counts once, also while it
// waits.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Refused counts those of the calls that an outage or a rate limit refused.
	Refused int `json:"refused"`
}

// Store implements platform.Store in memory. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
	changed chan struct{} // closed and replaced on every change

	hosts, shownHosts []platform.Host
	freezeHosts       bool

	outage      bool
	loseAnswers int
	counts      Counts
	reads       limiter
	writes      limiter
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store. now is the clock of the rate limits.
func New(now func() time.Time) *Store {
	return &Store{now: now, objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// SetOutage makes the store refuse every call, including waiting watches.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.wake()
}

// LoseAnswers suppresses the answers of the next n puts that take effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// SetLimits refuses calls above the rates in calls per second; 0 is no limit.
// A watch counts as a read.
func (s *Store) SetLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.limit, s.writes.limit = reads, writes
}

// SetHosts replaces the list of hosts. While the list is frozen, Hosts keeps
// returning the older list.
func (s *Store) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
	if !s.freezeHosts {
		s.shownHosts = s.hosts
	}
}

// FreezeHosts stops or resumes updates of the list that Hosts returns.
func (s *Store) FreezeHosts(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freezeHosts = on
	if !on {
		s.shownHosts = s.hosts
	}
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot is a copy of the stored objects and the version counter.
type Snapshot struct {
	version int64
	objects map[string]platform.Object
}

// Snapshot returns a copy of the state for Restore.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{s.version, cloneMap(s.objects)}
}

// Restore sets the state back to a snapshot, as an operator of the platform
// does after a loss of data. Versions go back with it.
func (s *Store) Restore(old Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.objects = old.version, cloneMap(old.objects)
	s.wake()
}

func cloneMap(m map[string]platform.Object) map[string]platform.Object {
	out := make(map[string]platform.Object, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(&s.counts.Reads, &s.reads); err != nil {
		return platform.Object{}, err
	}
	o, ok := s.objects[key]
	if !ok {
		return platform.Object{}, errors.Annotatef(platform.ErrNotFound, "get %s", key)
	}
	return o, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(&s.counts.Reads, &s.reads); err != nil {
		return nil, err
	}
	return s.above(prefix, 0), nil
}

// Put implements platform.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(&s.counts.Writes, &s.writes); err != nil {
		return platform.Object{}, err
	}
	if len(value) > platform.MaxValueBytes {
		return platform.Object{}, errors.Annotatef(platform.ErrTooLarge, "put %s", key)
	}
	if have := s.objects[key].Version; have != ifVersion {
		return platform.Object{}, errors.Annotatef(platform.ErrConflict, "put %s: version %d, expected %d", key, have, ifVersion)
	}
	s.version++
	o := platform.Object{Key: key, Version: s.version, Value: bytes.Clone(value)}
	s.objects[key] = o
	s.wake()
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return platform.Object{}, ErrAnswerLost
	}
	return o, nil
}

// Watch implements platform.Store. It waits in real time; code under virtual
// time calls Changes instead.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) ([]platform.Object, int64, error) {
	return s.WatchFor(ctx, prefix, after, platform.WaitOf(ctx, platform.MaxWatch))
}

// WatchFor is Watch with a wait of at most wait.
func (s *Store) WatchFor(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Object, int64, error) {
	timer := time.NewTimer(min(wait, platform.MaxWatch))
	defer timer.Stop()
	for first := true; ; first = false {
		objects, version, changed, err := s.poll(prefix, after, first)
		if err != nil || len(objects) > 0 {
			return objects, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, version, ctx.Err()
		}
	}
}

// Changes is a watch that does not wait: it returns the objects with the prefix
// above version after and the store's version. It counts as one watch.
func (s *Store) Changes(prefix string, after int64) ([]platform.Object, int64, error) {
	objects, version, _, err := s.poll(prefix, after, true)
	return objects, version, err
}

// poll returns the changes and the channel that the next change closes.
func (s *Store) poll(prefix string, after int64, count bool) ([]platform.Object, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count {
		if err := s.begin(&s.counts.Watches, &s.reads); err != nil {
			return nil, 0, nil, err
		}
	} else if s.outage {
		return nil, 0, nil, errors.Annotate(platform.ErrUnavailable, "outage")
	}
	return s.above(prefix, after), s.version, s.changed, nil
}

// Hosts implements platform.Store.
func (s *Store) Hosts(context.Context) ([]platform.Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(&s.counts.Reads, &s.reads); err != nil {
		return nil, err
	}
	return slices.Clone(s.shownHosts), nil
}

// begin counts a call and refuses it during an outage or above its rate.
func (s *Store) begin(count *int, rate *limiter) error {
	*count++
	if s.outage {
		s.counts.Refused++
		return errors.Annotate(platform.ErrUnavailable, "outage")
	}
	if !rate.allow(s.now()) {
		s.counts.Refused++
		return errors.Annotatef(platform.ErrUnavailable, "above %d calls a second", rate.limit)
	}
	return nil
}

// above returns the objects with the prefix above a version in key order.
func (s *Store) above(prefix string, after int64) []platform.Object {
	var out []platform.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && o.Version > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// limiter allows a number of calls in each second of the clock.
type limiter struct {
	limit  int
	second int64
	used   int
}

func (l *limiter) allow(now time.Time) bool {
	if l.limit == 0 {
		return true
	}
	if second := now.Unix(); second != l.second {
		l.second, l.used = second, 0
	}
	l.used++
	return l.used <= l.limit
}
