package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

func item(name string, revision int64) Item {
	return Item{Name: name, Revision: revision, Server: &fleet.Server{ID: name}}
}

func names(l *Replica) []string {
	var out []string
	for name := range l.Items() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Guards against a copy that reverts to older items when a source with an older
// revision answers late.
func TestOlderChangesAreIgnored(t *testing.T) {
	l := NewReplica()
	require.Equal(t, Changed, l.Apply(Changes{Revision: 5, Complete: true, Items: []Item{item("a", 3), item("b", 5)}}))
	require.Equal(t, Changed, l.Apply(Changes{Revision: 7, Items: []Item{{Name: "a", Revision: 7, Deleted: true}}}))
	require.Equal(t, OlderRevision, l.Apply(Changes{Revision: 6, Complete: true, Items: []Item{item("a", 3), item("b", 5)}}))
	require.Equal(t, []string{"b"}, names(l))
	require.Equal(t, Unchanged, l.Apply(Changes{Revision: 9}))
	require.Equal(t, Position{Revision: 9}, l.Position())
	require.Equal(t, Position{Revision: 7}, l.LastChange(), "a follower need not fetch what did not change")
}

// Guards against followers that end up with other items than their source,
// whichever intermediate changes they skip, also if the store comes back from an older
// copy.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := NewReplica(), NewReplica()
		at := Position{Era: 1, Revision: 1}
		source.Apply(Changes{Era: at.Era, Revision: at.Revision, Complete: true})
		live := map[string]Item{}
		list := func() Changes {
			out := Changes{Era: at.Era, Revision: at.Revision, Complete: true}
			for _, i := range live {
				out.Items = append(out.Items, i)
			}
			return out
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				at.Revision++
				live[name] = item(name, at.Revision)
				source.Apply(Changes{Era: at.Era, Revision: at.Revision, Items: []Item{live[name]}})
			case 1:
				at.Revision++
				delete(live, name)
				source.Apply(Changes{Era: at.Era, Revision: at.Revision, Items: []Item{{Name: name, Revision: at.Revision, Deleted: true}}})
			case 2:
				at.Revision++
				source.Apply(list())
			case 3:
				follower.Apply(source.Since(follower.Position()))
			case 4:
				at = Position{Era: at.Era + 1, Revision: rapid.Int64Range(1, at.Revision).Draw(t, "copy")}
				for name, i := range live {
					if i.Revision > at.Revision {
						delete(live, name)
					}
				}
				source.Apply(list())
			}
		}
		follower.Apply(source.Since(follower.Position()))
		require.Equal(t, source.Items(), follower.Items())
		require.False(t, follower.Position().Before(source.LastChange()))
	})
}

// Guards against copies that stand still after the store has come back from an older
// copy, because its revisions are below those that they have reached.
func TestRestoredStoreReplacesCopy(t *testing.T) {
	l := NewReplica()
	l.Apply(Changes{Era: 1, Revision: 131, Complete: true, Items: []Item{item("a", 120), item("b", 130)}})
	require.Equal(t, ListNeeded, l.Apply(Changes{Era: 2, Revision: 140, Items: []Item{item("a", 140)}}), "a watch may go on without a list")
	require.Equal(t, Position{Era: 1, Revision: 131}, l.Position())
	require.Equal(t, Restored, l.Apply(Changes{Era: 2, Revision: 60, Complete: true, Items: []Item{item("a", 50)}}))
	require.Equal(t, int64(50), l.Items()["a"].Revision)
	require.NotContains(t, l.Items(), "b")
	require.Equal(t, Position{Era: 2, Revision: 60}, l.LastChange(), "followers have to fetch the copy of the new era")
	require.Equal(t, OlderEra, l.Apply(Changes{Era: 1, Revision: 500, Complete: true, Items: []Item{item("late", 500)}}))
	require.Equal(t, OlderRevision, l.Apply(Changes{Era: 2, Revision: 59}))
	require.Equal(t, Changed, l.Apply(Changes{Era: 2, Revision: 61, Items: []Item{item("a", 61)}}))
	require.Equal(t, Restored, l.Apply(Changes{Era: 3, Revision: 60, Complete: true, Items: []Item{item("a", 50)}}), "a second time within moments")

	// Written again and removed before this host saw it: followers may still hold it.
	removal := []Item{{Name: "b", Revision: 62, Deleted: true}}
	require.Equal(t, Changed, l.Apply(Changes{Era: 3, Revision: 62, Items: removal}))
	require.Equal(t, removal, l.Since(Position{Era: 3, Revision: 60}).Items)
	require.Equal(t, Unchanged, l.Apply(Changes{Era: 3, Revision: 63, Items: []Item{{Name: "b", Revision: 63, Deleted: true}}}))
}

// Guards against a follower that takes the revisions of an earlier era for those of its
// source, and so misses what is not in the new era.
func TestRestoredStoreReachesFollowers(t *testing.T) {
	source, follower := NewReplica(), NewReplica()
	source.Apply(Changes{Era: 1, Revision: 100, Complete: true, Items: []Item{item("kept", 10), item("lost", 90)}})
	follower.Apply(source.Since(follower.Position()))
	source.Apply(Changes{Era: 2, Revision: 60, Complete: true, Items: []Item{item("kept", 10)}})
	source.Apply(Changes{Era: 2, Revision: 200, Items: []Item{item("new", 200)}}) // above the old revisions again
	require.True(t, follower.Position().Before(source.LastChange()))
	c := source.Since(follower.Position())
	require.True(t, c.Complete)
	require.Equal(t, Restored, follower.Apply(c))
	require.Equal(t, []string{"kept", "new"}, names(follower))
	require.True(t, source.Since(Position{Era: 1, Revision: 300}).Complete)
	require.Equal(t, OlderEra, source.Apply(Changes{Era: 1, Revision: 300, Complete: true}), "a host that still has the earlier era")
}

// Guards against a host that follows a watcher whose copy is of an earlier era.
func TestRestoredStoreWatcherOfAnEarlierEra(t *testing.T) {
	hosts := rankedHosts(3)
	behind := HostState{Host: hosts[0], Watching: true, Era: 1}
	ahead := HostState{Host: hosts[1], Watching: true, Era: 2}
	require.Equal(t, hosts[1], ChooseRole(HostState{Host: hosts[2], Era: 2}, []HostState{behind, ahead}).Follow)
	require.Equal(t, hosts[0], ChooseRole(HostState{Host: hosts[2], Era: 1}, []HostState{behind, ahead}).Follow)
	require.Empty(t, ChooseRole(HostState{Host: hosts[2], Era: 2}, []HostState{behind}).Follow)
}

// Guards against answers that cannot be placed in the history of the store.
func TestRestoredStoreOddEras(t *testing.T) {
	e := NewEras()
	era, err := e.Observe("")
	require.NoError(t, err, "a store without eras")
	require.Zero(t, era)
	_, raised := e.Latest()
	era, err = e.Observe("3")
	require.NoError(t, err)
	require.Equal(t, int64(3), era)
	<-raised
	for _, odd := range []string{"", "x", "-4", "3.5", "99999999999999999999", " 4"} {
		_, err = e.Observe(odd)
		require.ErrorIs(t, err, ErrEraMissing, odd)
	}
	_, err = e.Observe("2")
	require.ErrorIs(t, err, ErrEraPassed)
	latest, _ := e.Latest()
	require.Equal(t, int64(3), latest)
	require.Equal(t, int64(2), e.Last())
	_, err = e.Observe("3")
	require.NoError(t, err)
}

// Guards against followers that keep a removed item because the source has
// already dropped its tombstone.
func TestForgottenRemovals(t *testing.T) {
	source, follower := NewReplica(), NewReplica()
	source.Apply(Changes{Revision: 1, Complete: true, Items: []Item{item("kept", 1), item("lost", 1)}})
	follower.Apply(source.Since(Position{}))
	revision := int64(1)
	for i := range maxRemovals + 2 {
		name := "lost"
		if i > 0 {
			name = fmt.Sprint(i)
			revision++
			source.Apply(Changes{Revision: revision, Items: []Item{item(name, revision)}})
		}
		revision++
		source.Apply(Changes{Revision: revision, Items: []Item{{Name: name, Revision: revision, Deleted: true}}})
	}
	c := source.Since(follower.Position())
	require.True(t, c.Complete)
	follower.Apply(c)
	require.Equal(t, []string{"kept"}, names(follower))
}

// rankedHosts returns the names of n hosts in the order in which ChooseRole ranks
// them.
func rankedHosts(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("h%d", i))
	}
	return rendezvous.Top(rankingKey, all, n)
}

// Guards against a group in which no host or every host watches the store.
func TestOneWatcherPerRegion(t *testing.T) {
	hosts := rankedHosts(8)
	watching := map[string]bool{}
	for range 3 { // rounds in which each host learns the state of the others
		next := map[string]bool{}
		for _, self := range hosts {
			var others []HostState
			for _, h := range hosts {
				if h != self {
					others = append(others, HostState{Host: h, Watching: watching[h], Age: 100 * time.Millisecond})
				}
			}
			next[self] = ChooseRole(HostState{Host: self, Watching: watching[self], Age: 100 * time.Millisecond}, others).Watch
		}
		watching = next
	}
	for i, h := range hosts {
		require.Equal(t, i == 0, watching[h], h)
	}
}

// Guards against following a watcher that no longer reaches the store, and
// against all hosts of a group taking over from it at once.
func TestTakeOverInTurn(t *testing.T) {
	hosts := rankedHosts(8)
	first := HostState{Host: hosts[0], Watching: true, Age: StaleAfter}
	role := func(self string, age time.Duration) Role {
		others := []HostState{first}
		for _, h := range hosts[1:] {
			if h != self {
				others = append(others, HostState{Host: h, Age: age})
			}
		}
		return ChooseRole(HostState{Host: self, Age: age}, others)
	}
	require.True(t, role(hosts[1], StaleAfter).Watch)
	require.False(t, role(hosts[2], StaleAfter).Watch)
	require.True(t, role(hosts[2], StaleAfter+takeoverStagger).Watch)
	require.False(t, role(hosts[7], StaleAfter+takeoverStagger).Watch)
	require.True(t, role(hosts[7], StaleAfter+6*takeoverStagger).Watch)
	// Once the second host has an up-to-date copy, the others follow it, until
	// the copy of the first host is up to date again.
	second := HostState{Host: hosts[1], Watching: true, Age: 0}
	require.Equal(t, Role{Follow: hosts[1], Rank: 2}, ChooseRole(HostState{Host: hosts[3], Age: 3 * time.Second}, []HostState{first, second}))
	first.Age = 0
	require.Equal(t, Role{Follow: hosts[0], Rank: 1}, ChooseRole(HostState{Host: hosts[1], Watching: true}, []HostState{first}))
}

// Guards against following a host that is a follower itself: hosts that follow
// each other in a cycle would never get a change.
func TestFollowersAreNotFollowed(t *testing.T) {
	hosts := rankedHosts(3)
	require.Equal(t, Role{Rank: 1}, ChooseRole(HostState{Host: hosts[1]}, []HostState{{Host: hosts[0], Age: 0}, {Host: hosts[2], Age: 0}}))
}

// Guards against all hosts of a group calling an unavailable store as often as
// the hosts with the lowest ranks do.
func TestFailingStoreIsAskedLessOften(t *testing.T) {
	hosts := rankedHosts(8)
	for i, self := range hosts {
		var others []HostState
		for _, h := range hosts {
			if h != self {
				others = append(others, HostState{Host: h, Watching: true, Age: time.Minute})
			}
		}
		r := ChooseRole(HostState{Host: self, Watching: true, Age: time.Minute}, others)
		require.True(t, r.Watch)
		require.Equal(t, i, r.Rank)
		require.Equal(t, i < 2, r.MaxBackoff() <= time.Second, "host %d", i)
	}
}

// Guards against ranking a host with little capacity first: the whole group would
// fetch its copies from it.
func TestStrongHostsAskFirst(t *testing.T) {
	hosts := rankedHosts(8)
	var all []HostState
	for i, h := range hosts {
		all = append(all, HostState{Host: h, Capacity: map[bool]float64{true: 0.8, false: 0.1}[i >= 6], Age: StaleAfter})
	}
	first := all[6]
	others := append(append([]HostState(nil), all[:6]...), all[7])
	require.Equal(t, Role{Watch: true}, ChooseRole(first, others))
	require.Equal(t, 2, ChooseRole(all[0], all[1:]).Rank)
}

// Guards against a retry storm of a group's hosts while the store is unavailable:
// each call has its cost, refused ones included.
func TestCallsOfAGroupDuringAnOutage(t *testing.T) {
	const (
		hosts  = 32
		outage = 8 * time.Second
		step   = 100 * time.Millisecond
	)
	ranked := rankedHosts(hosts)
	roles := make([]Role, hosts)
	nextCall, backoffs, calls := make([]time.Duration, hosts), make([]time.Duration, hosts), make([]int, hosts)
	for now := time.Duration(0); now < outage; now += step {
		for i, self := range ranked {
			var others []HostState
			for j, name := range ranked {
				if j != i {
					others = append(others, HostState{Host: name, Watching: roles[j].Watch, Age: now})
				}
			}
			before := roles[i]
			roles[i] = ChooseRole(HostState{Host: self, Watching: before.Watch, Age: now}, others)
			if !roles[i].Watch || now < nextCall[i] {
				continue
			}
			calls[i]++
			if !before.Watch {
				backoffs[i] = roles[i].InitialBackoff(i == 0)
			}
			nextCall[i] = now + backoffs[i]
			backoffs[i] = min(2*backoffs[i], roles[i].MaxBackoff())
		}
	}
	total := 0
	for i, n := range calls {
		total += n
		if i >= fastRetryRanks {
			require.LessOrEqual(t, n, 2, "host %d", i)
		}
	}
	require.Greater(t, calls[0], 5, "the first host retries often enough to notice the store's return soon")
	t.Logf("%d calls for each kind of object within %s", total, outage)
}

// Guards against tables that are never taken because the entry that could not be read
// keeps a revision of the era before.
func TestRestoredStoreKeptItemTakesLaterChanges(t *testing.T) {
	l := NewReplica()
	l.Apply(Changes{Era: 1, Revision: 131, Complete: true, Items: []Item{item("main", 131)}})
	require.Equal(t, Restored, l.Apply(Changes{Era: 2, Revision: 60, Complete: true, Keep: []string{"main"}}))
	require.Contains(t, l.Items(), "main")
	require.Equal(t, Changed, l.Apply(Changes{Era: 2, Revision: 61, Items: []Item{item("main", 61)}}))
	require.EqualValues(t, 61, l.Items()["main"].Revision)
	require.Len(t, l.Since(Position{Era: 2, Revision: 60}).Items, 1, "a follower takes it, too")
}

// Guards against a store whose answers are all ignored because one faulty answer named an
// era far above its own.
func TestRestoredStoreOneAnswerOfAFarEra(t *testing.T) {
	e := NewEras()
	_, err := e.Observe("3")
	require.NoError(t, err)
	_, raised := e.Latest()
	_, err = e.Observe("9000000000000000000")
	require.ErrorIs(t, err, ErrEraUnconfirmed)
	select {
	case <-raised:
		t.Fatal("raised by one answer")
	default:
	}
	for _, era := range []string{"3", "4"} {
		_, err = e.Observe(era)
		require.NoError(t, err)
	}
	// A host that was cut off while the store returned more than once.
	_, err = e.Observe("7")
	require.ErrorIs(t, err, ErrEraUnconfirmed)
	_, err = e.Observe("7")
	require.NoError(t, err)
	latest, _ := e.Latest()
	require.Equal(t, int64(7), latest)
}

// Guards against an odd era that is believed because an odd answer long before named it, too.
func TestRestoredStoreOddErasFarApart(t *testing.T) {
	e := NewEras()
	_, err := e.Observe("1")
	require.NoError(t, err)
	for range 3 {
		_, err = e.Observe("99")
		require.ErrorIs(t, err, ErrEraUnconfirmed)
		_, err = e.Observe("1")
		require.NoError(t, err)
	}
	_, err = e.Observe("2")
	require.NoError(t, err)
}
