package steer

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against running work that is given up, or started again elsewhere, because
// the dispatcher does not hear from the host that sent it: the host is only silent.
func TestSilentHostKeepsItsWork(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	started, finish := make(chan struct{}, 2), make(chan struct{})
	servers := map[string]*testServer{}
	for _, id := range []string{"s1", "s2"} {
		servers[id] = newTestServer(t, id, func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-finish
			answerOK(w, r)
		})
		putServer(source, servers[id], "a-1")
	}
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	hosts := map[string]*Host{"h1": h1, "h2": h2}
	require.Eventually(t, func() bool {
		return h1.Dump().Servers["p"] == 2 && h2.Dump().Servers["p"] == 2 && len(h1.view.Load().hosts) == 1 && len(h2.view.Load().hosts) == 1 &&
			h1.view.Load().dispatchers["p"] != "" && h1.view.Load().dispatchers["p"] == h2.view.Load().dispatchers["p"]
	}, waitTimeout, time.Millisecond)
	dispatcher := hosts[h1.view.Load().dispatchers["p"]]
	delete(hosts, dispatcher.self.Name)
	for name, sender := range hosts {
		statuses := make(chan int, 1)
		go func() {
			status, _, _ := sendRequest(t, sender, "POST", "/once/x")
			statuses <- status
		}()
		<-started
		// What happens when the beacons of a host stop for longer than peerTimeout.
		dispatcher.eachPool(func(p *pool) { p.forgetHost(time.Now(), name) })
		time.Sleep(300 * time.Millisecond)
		close(finish)
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.Equal(t, 1, servers["s1"].count()+servers["s2"].count())
}

// Guards against requests that are sent twice, or lost, while a pool passes from one
// dispatcher to another and both grant slots for a moment.
func TestHandOversSendOnce(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	servers := map[string]*testServer{}
	for _, id := range []string{"s1", "s2", "s3"} {
		servers[id] = newTestServer(t, id, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			answerOK(w, r)
		})
		putServer(source, servers[id], "a-1")
	}
	sender := startHost(t, source, "sender", "a-1")
	var others []*Host
	start := func(i int) {
		others = append(others, startHost(t, source, fmt.Sprint("h", i), "a-1"))
	}
	start(0)
	start(1)
	require.Eventually(t, func() bool { return sender.ready() && len(sender.view.Load().hosts) == 2 }, waitTimeout, time.Millisecond)

	stop := make(chan struct{})
	var mu sync.Mutex
	statuses, answered := map[int]int{}, []string{}
	var senders sync.WaitGroup
	for worker := range 4 {
		senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("once-%d-%d", worker, i)
				status, _, _ := sendRequest(t, sender, "POST", "/once/x", "Req-Id", id, "Key", id)
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK {
					answered = append(answered, id)
				}
				mu.Unlock()
			}
		})
	}
	for i := 2; i < 6; i++ {
		time.Sleep(200 * time.Millisecond)
		start(i) // may become the dispatcher at once
		time.Sleep(200 * time.Millisecond)
		oldest := others[0]
		others = others[1:]
		require.NoError(t, oldest.Stop())
	}
	close(stop)
	senders.Wait()
	ran := map[string]int{}
	for _, s := range servers {
		s.mu.Lock()
		for _, id := range s.ids {
			ran[id]++
		}
		s.mu.Unlock()
	}
	for id, n := range ran {
		require.Equal(t, 1, n, "request %s", id)
	}
	require.NotEmpty(t, answered)
	for _, id := range answered {
		require.Equal(t, 1, ran[id], "request %s was answered", id)
	}
	// A rejection says that the request has not run.
	require.Len(t, ran, statuses[http.StatusOK])
	for status := range statuses {
		require.True(t, slices.Contains([]int{http.StatusOK, http.StatusServiceUnavailable}, status), "statuses %v", statuses)
	}
	t.Logf("statuses %v", statuses)
}
