package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// faults injects random faults that come in series and overlap, until the time
// is over.
func (s *soak) faults(length time.Duration) {
	var wg sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); {
		// All random values are drawn here, so that a seed repeats them.
		span := time.Duration(100+s.rng.IntN(1500)) * time.Millisecond
		kind := s.rng.IntN(6)
		switch {
		case kind < 2:
			s.hostFault(&wg, span)
		case kind < 3:
			s.storeFault(&wg, span)
		case kind < 4:
			s.serverFault(&wg, span)
		case kind < 5:
			s.linkFault(&wg, span)
		default:
			s.change(&wg, span)
		}
		time.Sleep(time.Duration(50+s.rng.IntN(350)) * time.Millisecond)
	}
	wg.Wait()
	s.store.SetFaults(standin.Faults{})
	s.storeLink.set(linkFaults{})
	for _, d := range domains {
		s.store.EndEvacuation(d)
	}
}

// hostFault signals or restarts entry hosts.
func (s *soak) hostFault(wg *sync.WaitGroup, span time.Duration) {
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
			h.series.Lock()
			defer h.series.Unlock()
			var err error
			switch kind {
			case 1:
				err = h.replace(span/4, syscall.SIGKILL)
			case 2:
				err = h.replace(span/4, syscall.SIGTERM)
			case 3:
				err = h.replace(span/2, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGKILL)
			case 4:
				err = h.replace(span/4, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT)
			case 5:
				h.signal(syscall.SIGSTOP)
				time.Sleep(span)
				h.signal(syscall.SIGCONT)
			}
			if err != nil {
				s.ledger.violation("%v", err)
			}
		})
	}
}

// storeFault lets the platform's store misbehave.
func (s *soak) storeFault(wg *sync.WaitGroup, span time.Duration) {
	faults := []standin.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {Delay: span / 4},
		{LoseAnswers: true, Late: span / 2, DeafWatches: true},
	}
	kind := s.rng.IntN(len(faults) + 1)
	if kind == len(faults) {
		s.store.Compact()
		return
	}
	s.store.SetFaults(faults[kind])
	wg.Go(func() {
		time.Sleep(span)
		s.store.SetFaults(standin.Faults{})
	})
}

// serverFault lets a backend server misbehave.
func (s *soak) serverFault(wg *sync.WaitGroup, span time.Duration) {
	faults := []standin.ServerFaults{
		{LoseAnswers: true}, {Shed: true}, {Truncate: true}, {Fail: true, Delay: 50 * time.Millisecond}, {Delay: span},
	}
	kind, b := s.rng.IntN(len(faults)+1), s.backends[s.rng.IntN(len(s.backends))]
	if kind == len(faults) {
		// The server crashes, and another one gets its address.
		b.server.Load().Stop()
		s.store.Withdraw(b.server.Load().ID)
		s.deploy(b)
		return
	}
	server := b.server.Load()
	server.SetFaults(faults[kind])
	wg.Go(func() {
		time.Sleep(span)
		server.SetFaults(standin.ServerFaults{})
	})
}

// linkFault cuts, slows or resets a link.
func (s *soak) linkFault(wg *sync.WaitGroup, span time.Duration) {
	f, repair := randomFaults(s.rng), s.rng.IntN(2) == 0
	switch s.rng.IntN(4) {
	case 0:
		s.disturb(wg, span, f, repair, s.storeLink)
	case 1:
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		h.peer.set(f)
		s.disturb(wg, span, f, repair, h.control)
		wg.Go(func() {
			time.Sleep(span)
			h.peer.set(linkFaults{})
		})
	case 2:
		s.disturb(wg, span, f, repair, s.backends[s.rng.IntN(len(s.backends))].link)
	case 3:
		for _, p := range []*proxy{s.storeLink, s.hosts[s.rng.IntN(len(s.hosts))].control, s.backends[s.rng.IntN(len(s.backends))].link} {
			p.reset()
		}
	}
}

// disturb lets a link misbehave for a while. Its connections go on afterwards,
// or are reset if repair is false.
func (s *soak) disturb(wg *sync.WaitGroup, span time.Duration, f linkFaults, repair bool, p *proxy) {
	p.set(f)
	wg.Go(func() {
		time.Sleep(span)
		p.set(linkFaults{})
		if !repair {
			p.reset()
		}
	})
}

// change does what operators and servers do on an ordinary day.
func (s *soak) change(wg *sync.WaitGroup, span time.Duration) {
	switch s.rng.IntN(4) {
	case 0:
		s.configure()
	case 1:
		for range 2 + s.rng.IntN(8) {
			s.configure()
			time.Sleep(20 * time.Millisecond)
		}
	case 2:
		domain := domains[s.rng.IntN(len(domains))]
		s.store.Evacuate(domain)
		wg.Go(func() {
			time.Sleep(span)
			s.store.EndEvacuation(domain)
		})
	case 3:
		server := s.backends[s.rng.IntN(len(s.backends))].server.Load()
		s.store.Publish(server.Deployed, "draining")
		wg.Go(func() {
			time.Sleep(span)
			s.store.Publish(server.Deployed, "ready")
		})
	}
}

// plans injects planned work alone, of which callers must not notice anything,
// until the time is over.
func (s *soak) plans(length time.Duration) {
	until := time.Now().Add(length)
	for turn := 0; turn == 0 || time.Now().Before(until); turn++ {
		s.configure()
		s.awaitTables(applyBound, "after a change")
		restarted := s.hosts[turn%len(s.hosts)]
		left := s.backends[turn%len(s.backends)]
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := restarted.replace(100*time.Millisecond, syscall.SIGTERM); err != nil {
				s.ledger.violation("%v", err)
			}
		})
		wg.Go(func() { s.drain(left) })
		if turn%2 == 1 {
			wg.Go(func() { s.evacuate(domains[turn/2%len(domains)]) })
		}
		wg.Wait()
		s.settle("between planned work")
	}
}

// drain lets a server leave as planned and deploys another one for it.
func (s *soak) drain(b *backend) {
	server := b.server.Load()
	s.store.Publish(server.Deployed, "draining")
	time.Sleep(drainBound)
	b.closed.Store(true)
	time.Sleep(time.Second)
	server.Stop()
	s.store.Withdraw(server.ID)
	b.closed.Store(false)
	s.deploy(b)
}

// evacuate empties a domain and takes it back.
func (s *soak) evacuate(domain string) {
	s.store.Evacuate(domain)
	time.Sleep(evacuateBound)
	s.setEvacuated(domain, true)
	time.Sleep(500 * time.Millisecond)
	s.setEvacuated(domain, false)
	s.store.EndEvacuation(domain)
}

func (s *soak) setEvacuated(domain string, evacuated bool) {
	for _, b := range s.backends {
		if b.domain == domain {
			b.emptied.Store(evacuated)
		}
	}
}

// received checks that a server may still get requests.
func (s *soak) received(b *backend, id string) {
	s.ledger.ran(id)
	if b.closed.Load() {
		s.ledger.violation("request %s reached %s over %s after it began to drain", id, b.server.Load().ID, drainBound)
	}
	if b.emptied.Load() {
		s.ledger.violation("request %s reached %s over %s after the evacuation of %s", id, b.server.Load().ID, evacuateBound, b.domain)
	}
}

// deploy starts a new server behind the backend's address.
func (s *soak) deploy(b *backend) {
	s.deployed++
	server := &standin.Server{
		Deployed: standin.Deployed{
			ID: fmt.Sprintf("i-%d", s.deployed), Pool: "p", Address: b.link.address(), Domain: b.domain, Slots: 4, Born: time.Now().UnixMilli(),
		},
		Listen: freeAddress(s.t), Work: 15 * time.Millisecond, OnRun: func(id string) { s.received(b, id) },
	}
	if err := server.Start(); err != nil {
		s.ledger.violation("backend server: %v", err)
		return
	}
	s.t.Cleanup(server.Stop)
	b.link.retarget(server.Listen)
	b.server.Store(server)
	s.store.Publish(server.Deployed, "ready")
}
