package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// injectFaults starts random faults, which may follow each other closely and
// overlap, until duration has passed. It then waits for them to end and clears
// the faults and evacuations of the store.
func (s *soak) injectFaults(duration time.Duration) {
	var wg sync.WaitGroup
	for until := time.Now().Add(duration); time.Now().Before(until); {
		// Random values are drawn in this goroutine only, so that a seed reproduces
		// their order.
		faultDuration := time.Duration(100+s.rng.IntN(1500)) * time.Millisecond
		kind := s.rng.IntN(6)
		switch {
		case kind < 2:
			s.injectHostFault(&wg, faultDuration)
		case kind < 3:
			s.injectStoreFault(&wg, faultDuration)
		case kind < 4:
			s.injectServerFault(&wg, faultDuration)
		case kind < 5:
			s.injectLinkFault(&wg, faultDuration)
		default:
			s.makeRoutineChange(&wg, faultDuration)
		}
		time.Sleep(time.Duration(50+s.rng.IntN(350)) * time.Millisecond)
	}
	wg.Wait()
	s.store.SetFaults(standin.Faults{})
	s.storeProxy.setFaults(linkFaults{})
	for _, d := range domains {
		s.store.EndEvacuation(d)
	}
}

// injectHostFault reloads, kills, shuts down or pauses one or more entry hosts.
func (s *soak) injectHostFault(wg *sync.WaitGroup, duration time.Duration) {
	kind, first, count := s.rng.IntN(6), s.rng.IntN(len(s.hosts)), 1
	if s.rng.IntN(4) == 0 {
		count = 1 + s.rng.IntN(len(s.hosts))
	}
	for i := range count {
		h := s.hosts[(first+i)%len(s.hosts)]
		if kind == 0 {
			h.signal(syscall.SIGHUP)
			continue
		}
		wg.Go(func() {
			h.faultMu.Lock()
			defer h.faultMu.Unlock()
			var err error
			switch kind {
			case 1:
				err = h.restart(duration/4, syscall.SIGKILL)
			case 2:
				err = h.restart(duration/4, syscall.SIGTERM)
			case 3:
				err = h.restart(duration/2, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGKILL)
			case 4:
				err = h.restart(duration/4, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT)
			case 5:
				h.signal(syscall.SIGSTOP)
				time.Sleep(duration)
				h.signal(syscall.SIGCONT)
			}
			if err != nil {
				s.recorder.addViolation("%v", err)
			}
		})
	}
}

// injectStoreFault injects a random fault into the platform's store for a while,
// or compacts its history.
func (s *soak) injectStoreFault(wg *sync.WaitGroup, duration time.Duration) {
	faults := []standin.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {Delay: duration / 4},
		{LoseAnswers: true, WriteDelay: duration / 2, DropNotifications: true},
	}
	kind := s.rng.IntN(len(faults) + 1)
	if kind == len(faults) {
		s.store.Compact()
		return
	}
	s.store.SetFaults(faults[kind])
	wg.Go(func() {
		time.Sleep(duration)
		s.store.SetFaults(standin.Faults{})
	})
}

// injectServerFault injects a random fault into a backend server for a while, or
// crashes it and deploys another one at its address.
func (s *soak) injectServerFault(wg *sync.WaitGroup, duration time.Duration) {
	faults := []standin.ServerFaults{
		{LoseAnswers: true}, {Shed: true}, {Truncate: true}, {Fail: true, Delay: 50 * time.Millisecond}, {Delay: duration},
	}
	kind, b := s.rng.IntN(len(faults)+1), s.backends[s.rng.IntN(len(s.backends))]
	if kind == len(faults) {
		// The server crashes, and a new one is deployed at its address.
		b.server.Load().Stop()
		s.store.Withdraw(b.server.Load().ID)
		s.deploy(b)
		return
	}
	server := b.server.Load()
	server.SetFaults(faults[kind])
	wg.Go(func() {
		time.Sleep(duration)
		server.SetFaults(standin.ServerFaults{})
	})
}

// injectLinkFault drops or delays for a while the data to and from the store, an
// entry host or a backend server, or resets the connections of one link of each.
func (s *soak) injectLinkFault(wg *sync.WaitGroup, duration time.Duration) {
	f, keepConns := randomLinkFaults(s.rng), s.rng.IntN(2) == 0
	switch s.rng.IntN(4) {
	case 0:
		s.setFaultsFor(wg, duration, f, keepConns, s.storeProxy)
	case 1:
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		h.peer.setFaults(f)
		s.setFaultsFor(wg, duration, f, keepConns, h.control)
		wg.Go(func() {
			time.Sleep(duration)
			h.peer.setFaults(linkFaults{})
		})
	case 2:
		s.setFaultsFor(wg, duration, f, keepConns, s.backends[s.rng.IntN(len(s.backends))].serverProxy)
	case 3:
		for _, p := range []*tcpProxy{s.storeProxy, s.hosts[s.rng.IntN(len(s.hosts))].control, s.backends[s.rng.IntN(len(s.backends))].serverProxy} {
			p.reset()
		}
	}
}

// setFaultsFor applies faults to a link for the given duration. The open
// connections are reset afterwards unless keepConns is set.
func (s *soak) setFaultsFor(wg *sync.WaitGroup, duration time.Duration, f linkFaults, keepConns bool, p *tcpProxy) {
	p.setFaults(f)
	wg.Go(func() {
		time.Sleep(duration)
		p.setFaults(linkFaults{})
		if !keepConns {
			p.reset()
		}
	})
}

// makeRoutineChange makes a random change of normal operation: one or several
// new versions of the tables, an evacuation of a failure domain, or a draining
// server that returns to service.
func (s *soak) makeRoutineChange(wg *sync.WaitGroup, duration time.Duration) {
	switch s.rng.IntN(4) {
	case 0:
		s.writeNextTables()
	case 1:
		for range 2 + s.rng.IntN(8) {
			s.writeNextTables()
			time.Sleep(20 * time.Millisecond)
		}
	case 2:
		domain := domains[s.rng.IntN(len(domains))]
		s.store.Evacuate(domain)
		wg.Go(func() {
			time.Sleep(duration)
			s.store.EndEvacuation(domain)
		})
	case 3:
		server := s.backends[s.rng.IntN(len(s.backends))].server.Load()
		s.store.Publish(server.ServerEntry, "draining")
		wg.Go(func() {
			time.Sleep(duration)
			s.store.Publish(server.ServerEntry, "ready")
		})
	}
}

// minRounds is the number of rounds of planned work after which each kind of it was done.
const minRounds = 2

// runPlannedWork changes tables, restarts hosts gracefully, replaces servers and
// evacuates failure domains until duration has passed, without any fault but
// restores of the store. None of this may be visible to callers.
func (s *soak) runPlannedWork(duration time.Duration) {
	until := time.Now().Add(duration)
	for round := 0; round < minRounds || time.Now().Before(until); round++ {
		s.writeNextTables()
		s.awaitTables(applyBound, "after a change of the tables")
		restarted := s.hosts[round%len(s.hosts)]
		draining := s.backends[round%len(s.backends)]
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := restarted.restart(100*time.Millisecond, syscall.SIGTERM); err != nil {
				s.recorder.addViolation("%v", err)
			}
		})
		wg.Go(func() { s.replaceGracefully(draining, s.restoreRNG(2*round+1)) })
		if round%2 == 1 {
			wg.Go(func() { s.evacuateAndRestore(domains[round/2%len(domains)], s.restoreRNG(2*round+2)) })
		}
		wg.Wait()
		s.awaitSteadyState(recoverBound, "after planned work")
	}
}

// replaceGracefully drains a server, checks that it gets no more requests, also while
// the store has lost that it drains, and deploys another one at its address.
func (s *soak) replaceGracefully(b *backend, rng *rand.Rand) {
	server := b.server.Load()
	s.store.Publish(server.ServerEntry, "draining")
	s.awaitWritten("servers", server.ID, drainBound)
	b.drained.Store(true)
	s.loseWrite("servers", server.ID, rng)
	time.Sleep(time.Second)
	server.Stop()
	s.store.Withdraw(server.ID)
	b.drained.Store(false)
	s.deploy(b)
}

// evacuateAndRestore evacuates a failure domain, checks that its servers get no more
// requests, also while the store has lost the evacuation, and ends it.
func (s *soak) evacuateAndRestore(domain string, rng *rand.Rand) {
	s.store.Evacuate(domain)
	s.awaitWritten("evacuations", domain, evacuateBound)
	s.setEvacuated(domain, true)
	s.loseWrite("evacuations", domain, rng)
	time.Sleep(500 * time.Millisecond)
	s.setEvacuated(domain, false)
	s.store.EndEvacuation(domain)
}

func (s *soak) setEvacuated(domain string, evacuated bool) {
	for _, b := range s.backends {
		if b.domain == domain {
			b.domainEvacuated.Store(evacuated)
		}
	}
}

// onServerRun records that a server began to run a request, and reports a
// violation if the server may not get requests any more.
func (s *soak) onServerRun(b *backend, id string) {
	s.recorder.recordRun(id)
	if b.drained.Load() {
		s.recorder.addViolation("request %s reached server %s more than %s after it began to drain", id, b.server.Load().ID, drainBound)
	}
	if b.domainEvacuated.Load() {
		s.recorder.addViolation("request %s reached server %s more than %s after the evacuation of %s began", id, b.server.Load().ID, evacuateBound, b.domain)
	}
}

// deploy starts a new server, which is cold unless it is the first one, directs the
// backend's proxy to it and publishes it in the store.
func (s *soak) deploy(b *backend) {
	s.deployments++
	cold := &coldServer{recorder: s.recorder}
	server := &standin.Server{
		ServerEntry: standin.ServerEntry{
			ID: fmt.Sprintf("i-%d", s.deployments), Pool: "p", Address: b.serverProxy.address(), Domain: b.domain, Slots: 4, StartedMS: time.Now().UnixMilli(),
		},
		Listen: freeAddress(s.t), ServiceTime: 15 * time.Millisecond, OnRun: func(id string) {
			cold.check(id)
			s.onServerRun(b, id)
		},
	}
	if b.server.Load() != nil {
		server.ColdFor = coldFor
	}
	cold.ServerEntry = server.ServerEntry
	if err := server.Start(); err != nil {
		s.recorder.addViolation("backend server did not start: %v", err)
		return
	}
	s.t.Cleanup(server.Stop)
	b.serverProxy.retarget(server.Listen)
	b.server.Store(server)
	s.store.Publish(server.ServerEntry, "ready")
}
