package steer

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/registry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/restore"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// restorable is a source with servers, and hosts that use it.
type restorable struct {
	*memorySource
	t     *testing.T
	hosts []*Host
}

// newRestorable starts hosts that know the tables with version 3 and the servers s0 to s3.
func newRestorable(t *testing.T, hosts int) *restorable {
	r := &restorable{memorySource: newSource(), t: t}
	putTable(r.memorySource, 3)
	for i := range 4 {
		r.publish(fmt.Sprint("s", i), 1, false)
	}
	for i := range hosts {
		r.startHost(r.memorySource, fmt.Sprint("h", i))
	}
	r.eventually(func(h *Host) bool { return len(r.states(h)) == 4 })
	return r
}

func (r *restorable) startHost(source Source, name string) *Host {
	h := startHost(r.t, source, name, "a-1")
	r.hosts = append(r.hosts, h)
	return h
}

func (r *restorable) publish(id string, startedMS int64, draining bool) {
	r.put(feed.Servers, feed.Item{Name: id, Server: &fleet.Server{
		ID: id, Pool: "p", Address: "127.0.0.1:1" + id[1:], Domain: "a-1", Slots: 4, StartedMS: startedMS, Draining: draining,
	}})
}

func (r *restorable) withdraw(id string) { r.put(feed.Servers, feed.Item{Name: id, Deleted: true}) }

// states returns the servers that a host uses, and whether they are draining.
func (r *restorable) states(h *Host) map[string]bool {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	out := map[string]bool{}
	for _, s := range h.registry.Servers()["p"] {
		out[s.ID] = s.Draining
	}
	return out
}

// eventually waits until a condition holds on all hosts.
func (r *restorable) eventually(condition func(*Host) bool) {
	r.t.Helper()
	var failing *Host
	ok := assert.Eventually(r.t, func() bool {
		i := slices.IndexFunc(r.hosts, func(h *Host) bool { return !condition(h) })
		if i >= 0 {
			failing = r.hosts[i]
		}
		return i < 0
	}, waitTimeout, 5*time.Millisecond)
	if !ok {
		dump := failing.Dump()
		r.t.Fatalf("host %s: version %d, servers %v, evacuated %v, copies %+v", failing.self.Name, dump.TableVersion, r.states(failing), dump.Evacuated, dump.Copies)
	}
}

// reached reports whether all copies of a host belong to an era.
func reached(era int64) func(*Host) bool {
	return func(h *Host) bool { return earliestEra(h.feeds.positions()) == era }
}

// Guards against hosts on which nothing new comes into force after the store has come
// back from an older copy, and against hosts that believe the copy where they know
// better (issue 41).
func TestRestoredStoreOnAllHosts(t *testing.T) {
	r := newRestorable(t, 3)
	restore := r.takeCopy()
	putTable(r.memorySource, 4)
	r.publish("s0", 1, true)
	r.withdraw("s1")
	r.publish("s2", 2, false) // started again
	r.put(feed.Evacuations, feed.Item{Name: "a-2"})
	known := map[string]bool{"s0": true, "s2": false, "s3": false}
	inForce := func(h *Host) bool {
		return h.Dump().TableVersion == 4 && maps.Equal(r.states(h), known) && h.isEvacuated("a-2")
	}
	r.eventually(inForce)
	for era := range int64(2) { // twice within moments
		restore()
		r.eventually(reached(era + 1))
		for _, h := range r.hosts {
			require.True(t, inForce(h), "host %s has %d, %v, %v", h.self.Name, h.Dump().TableVersion, r.states(h), h.Dump().Evacuated)
		}
	}
	r.publish("s2", 2, false)
	r.startHost(r.memorySource, "started-after")
	r.eventually(inForce)
	r.eventually(func(h *Host) bool { return r.registered(h) })

	putTable(r.memorySource, 5)
	r.publish("s3", 1, true)
	r.withdraw("s2")
	r.put(feed.Evacuations, feed.Item{Name: "a-2"})
	r.put(feed.Evacuations, feed.Item{Name: "a-2", Deleted: true})
	r.eventually(func(h *Host) bool {
		states := r.states(h)
		_, listed := states["s2"]
		return h.Dump().TableVersion == 5 && states["s3"] && !listed && !h.isEvacuated("a-2")
	})
	r.publish("s0", 2, false)
	r.publish("s1", 2, false)
	r.eventually(func(h *Host) bool {
		states := r.states(h)
		_, listed := states["s1"]
		return listed && !states["s0"]
	})
}

func (r *restorable) registered(h *Host) bool {
	hosts, _, err := r.Hosts(context.Background())
	return err == nil && slices.ContainsFunc(hosts, func(e fleet.EntryHost) bool { return e.Name == h.self.Name })
}

// Guards against servers that are gone at once because the copy lacks them, and against
// servers that are kept for ever.
func TestRestoredStoreLacksServers(t *testing.T) {
	r := newRestorable(t, 2)
	restore := r.takeCopy()
	r.publish("s4", 1, false)
	r.publish("s5", 1, false)
	r.eventually(func(h *Host) bool { return len(r.states(h)) == 6 })
	restore()
	r.eventually(reached(1))
	for _, h := range r.hosts {
		require.Len(t, r.states(h), 6)
	}
	r.publish("s4", 1, false)
	r.eventually(func(h *Host) bool {
		return maps.Equal(r.states(h), map[string]bool{"s0": false, "s1": false, "s2": false, "s3": false, "s4": false})
	})
}

// cutSource is a source that a host can be cut off from, alone.
type cutSource struct {
	*memorySource
	cut chan struct{} // closed while the host is cut off
}

func (s *cutSource) connected() error {
	select {
	case <-s.cut:
		return fmt.Errorf("cut off")
	default:
		return nil
	}
}

func (s *cutSource) List(ctx context.Context, kind feed.Kind) (feed.Changes, error) {
	if err := s.connected(); err != nil {
		return feed.Changes{}, err
	}
	return s.memorySource.List(ctx, kind)
}

func (s *cutSource) Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Changes, error) {
	if err := s.connected(); err != nil {
		return feed.Changes{}, err
	}
	return s.memorySource.Watch(ctx, kind, after, wait)
}

// Guards against hosts that do not reach the store and stay in the earlier era although a
// host that they hear has left it, whichever of them was asked by the others before.
func TestRestoredStoreOutOfReach(t *testing.T) {
	r := newRestorable(t, 0)
	var sources []*cutSource
	for i := range 3 {
		sources = append(sources, &cutSource{r.memorySource, make(chan struct{})})
		r.startHost(sources[i], fmt.Sprint("h", i))
	}
	r.eventually(func(h *Host) bool { return len(r.states(h)) == 4 })
	restore := r.takeCopy()
	r.publish("s0", 1, true)
	putTable(r.memorySource, 4)
	r.eventually(func(h *Host) bool { return r.states(h)["s0"] && h.Dump().TableVersion == 4 })
	// The only host that reaches the store is one that did not ask it before.
	last := slices.IndexFunc(r.hosts, func(h *Host) bool { return !h.feeds.currentRole().Watch })
	for i := range sources {
		if i != last {
			close(sources[i].cut)
		}
	}
	restore()
	r.eventually(reached(1))
	putTable(r.memorySource, 5)
	r.eventually(func(h *Host) bool { return h.Dump().TableVersion == 5 })
	for _, h := range r.hosts {
		require.True(t, r.states(h)["s0"])
	}
}

// Guards against a copy that a host of an earlier era sends: it changes nothing, and does
// not count as news of an outage.
func TestRestoredStoreAnswerOfAnEarlierEra(t *testing.T) {
	h := newUnstartedHost(t)
	list := func(era, revision int64, servers ...string) feed.Changes {
		c := feed.Changes{Era: era, Revision: revision, Complete: true}
		for _, id := range servers {
			c.Items = append(c.Items, feed.Item{Name: id, Revision: revision, Server: &fleet.Server{ID: id, Pool: "p", Address: id + ":1", Domain: "a-1", Slots: 1}})
		}
		return c
	}
	h.applyChanges(feed.Servers, sourceStore, list(2, 60, "a"), time.Now())
	confirmed := h.feeds.replicas[feed.Servers].Confirmed()
	require.Equal(t, feed.OlderEra, h.applyChanges(feed.Servers, "h2", list(1, 500, "b"), time.Now().Add(time.Minute)))
	require.Equal(t, confirmed, h.feeds.replicas[feed.Servers].Confirmed())
	require.True(t, h.feeds.hasNewerServersThan(&feedAnswer{Changes: [feed.NumKinds]*feed.Changes{feed.Servers: {Era: 1, Revision: 500}}}))
	require.Equal(t, "older-era", h.copyStatus(time.Now(), feed.Servers).NotTaken.Reason)

	behind := &peerState{changePositions: [feed.NumKinds]feed.Position{feed.Servers: {Era: 1, Revision: 500}}}
	require.False(t, h.feeds.confirm(behind)[feed.Servers])
}

// peerThatAnswers returns the address of a peer that answers each fetch with a.
func peerThatAnswers(t *testing.T, a *feedAnswer) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		raw, err := cbor.Marshal(a)
		assert.NoError(t, err)
		_, _ = w.Write(raw)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a follower that forgets what its watcher knows of a server because the
// follower's own copy, of the era before, has another revision of the server's entry.
func TestRestoredStoreFollowerMissedARemoval(t *testing.T) {
	h := newUnstartedHost(t)
	list := func(era, revision, itemRevision int64) feed.Changes {
		return feed.Changes{Era: era, Revision: revision, Complete: true, Items: []feed.Item{{Name: "s", Revision: itemRevision, Server: &fleet.Server{
			ID: "s", Pool: "p", Address: "127.0.0.1:8", Domain: "a-1", Slots: 1, StartedMS: 5,
		}}}}
	}
	h.applyChanges(feed.Servers, "h2", list(1, 131, 110), time.Now())
	restored := list(2, 80, 60)
	address := peerThatAnswers(t, &feedAnswer{
		Changes: [feed.NumKinds]*feed.Changes{feed.Servers: &restored},
		Held:    &restore.HeldState{Servers: map[string]restore.Server{"s": {StartedMS: 5, Gone: true, ForMS: 10_000, Revision: 60}}},
	})
	require.NoError(t, h.fetchChanges("h2", address, url.Values{}))
	require.Equal(t, feed.Position{Era: 2, Revision: 80}, h.feeds.position(feed.Servers))
	servers, _ := h.feeds.inForce(time.Now())
	require.Empty(t, servers)
}

// Guards against a host that follows a watcher of an earlier program version, which
// cannot leave its era, although the store itself has named a later one.
func TestRestoredStoreWatcherWithoutEras(t *testing.T) {
	r := newRestorable(t, 1)
	h := r.hosts[0]
	// The first host in the ranking is a watcher that stays in era 0 and keeps saying that
	// its copy is new.
	watcher := fleet.EntryHost{Name: "watcher", Region: "a", Domain: "a-1", Capacity: 1000, PeerAddress: freeAddress(t), CallerAddress: "127.0.0.1:1", ControlAddress: freeAddress(t), StartedMS: 1}
	require.NoError(t, watcher.Validate())
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			_, err := h.peers.recordBeacon(time.Now(), watcher.Name, 1, &beacon{Host: &watcher, Ready: true, Watching: true, ChangeRevisions: [feed.NumKinds]int64{1, 1, 1}})
			assert.NoError(t, err)
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() { close(done); <-stopped })
	r.eventually(func(h *Host) bool { return h.feeds.follows("watcher") })
	r.takeCopy()()
	putTable(r.memorySource, 9)
	r.eventually(func(h *Host) bool { return h.Dump().TableVersion == 9 })
}

// Guards against a host that started after the store's return and believes its copy,
// because the first host that it fetched changes from knew nothing either.
func TestRestoredStoreFirstFetchKnowsNothing(t *testing.T) {
	h := newUnstartedHost(t)
	list := feed.Changes{Era: 1, Revision: 80, Complete: true, Items: []feed.Item{{Name: "s", Revision: 60, Server: &fleet.Server{
		ID: "s", Pool: "p", Address: "127.0.0.1:8", Domain: "a-1", Slots: 1, StartedMS: 5,
	}}}}
	answer := feedAnswer{Changes: [feed.NumKinds]*feed.Changes{
		feed.Tables: {Era: 1, Revision: 80, Complete: true}, feed.Servers: &list, feed.Evacuations: {Era: 1, Revision: 80, Complete: true},
	}}
	require.NoError(t, h.fetchChanges("started-after", peerThatAnswers(t, &answer), url.Values{}))

	knowing := answer
	knowing.Held = &restore.HeldState{Servers: map[string]restore.Server{"s": {StartedMS: 5, Draining: true, ForMS: 10_000, Revision: 60}}}
	holder := fleet.EntryHost{
		Name: "holder", Region: h.region, Domain: "a-1", Capacity: 1, StartedMS: 1,
		PeerAddress: freeAddress(t), CallerAddress: freeAddress(t), ControlAddress: peerThatAnswers(t, &knowing),
	}
	_, err := h.peers.recordBeacon(time.Now(), holder.Name, holder.StartedMS, &beacon{Host: &holder, Held: 1, ChangeRevisions: [feed.NumKinds]int64{60, 60, 60}, Eras: []int64{1, 1, 1}})
	require.NoError(t, err)
	h.peers.group[holder.Name] = true
	h.fetchHolds(time.Now())
	require.Eventually(t, func() bool {
		servers, _ := h.feeds.inForce(time.Now())
		return len(servers) == 1 && servers[0].Draining
	}, waitTimeout, time.Millisecond)
}

// writerFunc is a function as a writer of a log.
type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against a follower that drops the servers which the copy lacks, because it got the
// new list with the time since an outage from before the store's return.
func TestRestoredStoreFollowerDuringTheReturn(t *testing.T) {
	h := newUnstartedHost(t)
	h.registry = registry.New(time.Now().Add(-time.Hour))
	putting, goOn := make(chan struct{}), make(chan struct{})
	h.log = newEventLog(&log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: writerFunc(func(p []byte) (int, error) {
		if strings.Contains(string(p), "older copy") { // the copy has changed and is not in force yet
			close(putting)
			<-goOn
		}
		return len(p), nil
	})}}, 100)
	h.applyChanges(feed.Servers, sourceStore, feed.Changes{Era: 1, Revision: 131, Complete: true}, time.Now())
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		h.applyChanges(feed.Servers, sourceStore, feed.Changes{Era: 2, Revision: 60, Complete: true}, time.Now())
	}()
	<-putting
	answered := make(chan feedAnswer, 1)
	go func() {
		w := httptest.NewRecorder()
		h.serveFeed(w, httptest.NewRequest(http.MethodGet, feedPath+"?servers=131&servers_era=1", nil))
		var a feedAnswer
		assert.NoError(t, decodeFeedAnswer(w.Body.Bytes(), &a))
		answered <- a
	}()
	time.AfterFunc(50*time.Millisecond, func() { close(goOn) })
	a := <-answered
	<-applied
	require.EqualValues(t, 2, a.Changes[feed.Servers].Era)
	require.Less(t, a.SinceOutageMS, time.Minute.Milliseconds())
}

// Guards against a host that drops the servers which the copy lacks, because its copy of
// another kind was of the new era before that of the host from which it got the list.
func TestRestoredStoreReachedInPartsKeepsServers(t *testing.T) {
	h := newUnstartedHost(t)
	h.registry = registry.New(time.Now().Add(-time.Hour))
	list := func(era int64, items ...feed.Item) *feed.Changes {
		return &feed.Changes{Era: era, Revision: 100, Complete: true, Items: items}
	}
	server := feed.Item{Name: "s", Revision: 90, Server: &fleet.Server{ID: "s", Pool: "p", Address: "127.0.0.1:8", Domain: "a-1", Slots: 1, StartedMS: 5}}
	h.applyChanges(feed.Servers, "h2", *list(1, server), time.Now())
	h.applyChanges(feed.Evacuations, sourceStore, *list(2), time.Now())
	address := peerThatAnswers(t, &feedAnswer{
		Changes:       [feed.NumKinds]*feed.Changes{feed.Servers: list(2), feed.Evacuations: list(1)},
		SinceOutageMS: 20,
	})
	require.NoError(t, h.fetchChanges("h2", address, url.Values{}))
	require.Equal(t, feed.Position{Era: 2, Revision: 100}, h.feeds.position(feed.Servers))
	_, lapsed := h.registry.Counts()
	require.Equal(t, 1, lapsed)
}

// Guards against a host that never asks what the others hold, because an answer of the era
// before arrived after the list of the present one.
func TestRestoredStoreLateMemoryOfTheEraBefore(t *testing.T) {
	h := newUnstartedHost(t)
	list := func(era int64) [feed.NumKinds]*feed.Changes {
		return [feed.NumKinds]*feed.Changes{
			feed.Tables: {Era: era, Revision: 80, Complete: true}, feed.Evacuations: {Era: era, Revision: 80, Complete: true},
			feed.Servers: {Era: era, Revision: 80, Complete: true, Items: []feed.Item{{Name: "s", Revision: 60, Server: &fleet.Server{
				ID: "s", Pool: "p", Address: "127.0.0.1:8", Domain: "a-1", Slots: 1, StartedMS: 5,
			}}}},
		}
	}
	for kind, c := range list(2) {
		h.applyChanges(feed.Kind(kind), sourceStore, *c, time.Now())
	}
	late := &feedAnswer{Changes: list(1), Held: &restore.HeldState{Evacuated: map[string]int64{"a-2": 10_000}}}
	require.NoError(t, h.fetchChanges("h2", peerThatAnswers(t, late), url.Values{}))

	knowing := &feedAnswer{Changes: list(2), Held: &restore.HeldState{Servers: map[string]restore.Server{"s": {StartedMS: 5, Draining: true, ForMS: 10_000, Revision: 60}}}}
	holder := fleet.EntryHost{
		Name: "holder", Region: h.region, Domain: "a-1", Capacity: 1, StartedMS: 1,
		PeerAddress: freeAddress(t), CallerAddress: freeAddress(t), ControlAddress: peerThatAnswers(t, knowing),
	}
	_, err := h.peers.recordBeacon(time.Now(), holder.Name, holder.StartedMS, &beacon{Host: &holder, Held: 1, ChangeRevisions: [feed.NumKinds]int64{60, 60, 60}, Eras: []int64{2, 2, 2}})
	require.NoError(t, err)
	h.peers.group[holder.Name] = true
	require.Eventually(t, func() bool {
		h.fetchHolds(time.Now())
		servers, _ := h.feeds.inForce(time.Now())
		return len(servers) == 1 && servers[0].Draining
	}, time.Second, 10*time.Millisecond)
}

// Guards against a host that starts after the store's return without tables, because the copy
// is older than the first tables, although the other hosts have them in force.
func TestRestoredStoreCopyHasNoTables(t *testing.T) {
	r := &restorable{memorySource: newSource(), t: t}
	r.startHost(r.memorySource, "h0")
	restore := r.takeCopy()
	putTable(r.memorySource, 4)
	inForce := func(h *Host) bool { return h.Dump().TableVersion == 4 }
	r.eventually(inForce)
	restore()
	r.eventually(reached(1))
	h := r.startHost(r.memorySource, "started-after")
	require.Eventually(t, func() bool { return inForce(h) }, 3*time.Second, 5*time.Millisecond)
}

// Guards against a host that started after the store's return and believes its copy,
// because the first host that holds something does not know of the draining server.
func TestRestoredStoreFirstHolderKnowsLess(t *testing.T) {
	h := newUnstartedHost(t)
	h.tomb.Go(func() error { <-h.tomb.Dying(); return nil }) // so that transfers can start
	t.Cleanup(func() { h.tomb.Kill(nil) })
	list := feed.Changes{Era: 1, Revision: 80, Complete: true, Items: []feed.Item{{Name: "s", Revision: 60, Server: &fleet.Server{
		ID: "s", Pool: "p", Address: "127.0.0.1:8", Domain: "a-1", Slots: 1, StartedMS: 5,
	}}}}
	answer := feedAnswer{Changes: [feed.NumKinds]*feed.Changes{
		feed.Tables: {Era: 1, Revision: 80, Complete: true}, feed.Servers: &list, feed.Evacuations: {Era: 1, Revision: 80, Complete: true},
	}}
	// A host that only knows of a server that the copy lacks sends nothing.
	knowsLess := answer
	lacking := restore.New()
	lacking.ServersRestored(time.Now(), []fleet.Server{{ID: "x", StartedMS: 1}}, nil, nil)
	knowsLess.Held = lacking.State(time.Now())
	knowing := answer
	knowing.Held = &restore.HeldState{Servers: map[string]restore.Server{"s": {StartedMS: 5, Draining: true, ForMS: 10_000, Revision: 60}}}
	for name, a := range map[string]*feedAnswer{"holder-a": &knowsLess, "holder-b": &knowing} {
		holder := fleet.EntryHost{
			Name: name, Region: h.region, Domain: "a-1", Capacity: 1, StartedMS: 1,
			PeerAddress: freeAddress(t), CallerAddress: freeAddress(t), ControlAddress: peerThatAnswers(t, a),
		}
		_, err := h.peers.recordBeacon(time.Now(), holder.Name, holder.StartedMS, &beacon{Host: &holder, Held: 1, ChangeRevisions: [feed.NumKinds]int64{60, 60, 60}, Eras: []int64{1, 1, 1}})
		require.NoError(t, err)
		h.peers.group[holder.Name] = true
	}
	require.NoError(t, h.fetchChanges("started-after", peerThatAnswers(t, &answer), url.Values{}))
	require.Eventually(t, func() bool {
		h.fetchHolds(time.Now())
		servers, _ := h.feeds.inForce(time.Now())
		return len(servers) == 1 && servers[0].Draining
	}, 1*time.Second, 10*time.Millisecond)
}

// Guards against a host that was cut off while the store returned and the operator ended an
// evacuation, and that holds the evacuation for as long again from then on.
func TestRestoredStoreHostBackLongAfter(t *testing.T) {
	h := newUnstartedHost(t)
	h.applyChanges(feed.Servers, sourceStore, feed.Changes{Era: 1, Revision: 131, Complete: true}, time.Now())
	h.applyChanges(feed.Evacuations, sourceStore, feed.Changes{Era: 1, Revision: 131, Complete: true, Items: []feed.Item{{Name: "a-2", Revision: 100}}}, time.Now())
	require.True(t, h.isEvacuated("a-2"))
	answer := &feedAnswer{SinceOutageMS: time.Hour.Milliseconds(), Changes: [feed.NumKinds]*feed.Changes{
		feed.Servers: {Era: 2, Revision: 160, Complete: true}, feed.Evacuations: {Era: 2, Revision: 160, Complete: true},
	}}
	require.NoError(t, h.fetchChanges("h2", peerThatAnswers(t, answer), url.Values{}))
	require.False(t, h.isEvacuated("a-2"))
}
