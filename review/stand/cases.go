package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	stableWindow = 4 * time.Second
	drain        = 2500 * time.Millisecond
	grace        = 6 * time.Second
)

var (
	catalogue = route{host: "kits.example", prefix: "/catalogue/", method: "GET", timeout: 2 * time.Second}
	pledges   = route{host: "kits.example", prefix: "/pledges/", method: "PUT", timeout: 4 * time.Second}
)

// configure writes the tables: safe requests to the pool catalog, unsafe ones to
// donors.
func (d *deployment) configure(coldPerS float64) {
	d.store.Configure(7, coldPerS, []string{"catalog", "donors"}, []standin.Route{
		{Name: "catalogue-read", Host: catalogue.host, Prefix: catalogue.prefix, Pool: "catalog", Idempotent: true, Timeout: catalogue.timeout, Target: 500 * time.Millisecond},
		{Name: "donation-pledge", Host: pledges.host, Prefix: pledges.prefix, Pool: "donors", Timeout: pledges.timeout, Target: 2 * time.Second},
	})
}

// startServers starts and publishes servers of a pool in the zones alm-a and alm-b.
func (d *deployment) startServers(pool string, count, slots int, work time.Duration) ([]*server, error) {
	var list []*server
	for i := range count {
		s, err := newServer(d.rec, fmt.Sprintf("i-%s-%d", pool, i), pool, []string{"alm-a", "alm-b"}[i%2], slots, 3*slots, work)
		if err != nil {
			return nil, err
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		d.store.Publish(s.ServerEntry, "ready")
		list = append(list, s)
	}
	return list, nil
}

// startHosts starts entry hosts in the zones alm-a and alm-b.
func (d *deployment) startHosts(count int) error {
	for i := range count {
		domain := []string{"alm-a", "alm-b"}[i%2]
		if _, err := d.startHost(i, fmt.Sprintf("edge-%s-%d", domain, i), domain); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow)
	return nil
}

// stalledCollector stops the process that reads the standard output of one entry
// host. CONFIG: of the requests that are unanswered at their route's timeout, more
// than half have no answer half a second later (eight or more).
func stalledCollector(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.configure(4.3)
	if _, err := d.startServers("catalog", 4, 5, 60*time.Millisecond); err != nil {
		return false, err
	}
	if _, err := d.startServers("donors", 4, 5, 60*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	stalled := d.hosts[1]
	if trouble {
		time.AfterFunc(8*time.Second, func() { d.signal(stalled, stalled.collector.Process, "the log collector", syscall.SIGSTOP) })
		time.AfterFunc(33*time.Second, func() { d.signal(stalled, stalled.collector.Process, "the log collector", syscall.SIGCONT) })
	}
	c := newCallers(rec)
	c.run(d.hosts, []route{catalogue, pledges}, 12, 40, 6*time.Second, 32*time.Second)
	ready := standin.Ready(stalled.ready)
	c.wg.Wait()
	unanswered, late, served := map[string]int{}, 0, map[string]int{}
	for _, x := range c.calls {
		timeout := catalogue.timeout
		if x.id[:1] == "P" {
			timeout = pledges.timeout
		}
		if x.status == 200 {
			served[x.host.name]++
		}
		if x.took > timeout {
			unanswered[x.host.name]++
			if x.took > timeout+500*time.Millisecond {
				late++
			}
		}
	}
	total := 0
	for _, n := range unanswered {
		total += n
	}
	rec.result("%s says that it is ready: %t; served by host %v", stalled.name, ready, served)
	rec.result("unanswered at their route's timeout, by host: %v; of these %d have no answer half a second later", unanswered, late)
	return late >= 8 && 2*late > total, nil
}

// secondTerm sends SIGTERM to one entry host, and once more a second later. LOST: a
// request that was passed on to a server ends without an answer, although its server
// was not at work on it in the last sixth of the grace time.
func secondTerm(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.configure(4.3)
	catalog, err := d.startServers("catalog", 4, 5, 640*time.Millisecond)
	if err != nil {
		return false, err
	}
	donors, err := d.startServers("donors", 4, 5, 440*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	stopped := d.hosts[1]
	var termAt time.Time
	time.AfterFunc(8*time.Second, func() {
		termAt = time.Now()
		d.signal(stopped, stopped.cmd.Process, "the process", syscall.SIGTERM)
	})
	if trouble {
		time.AfterFunc(9*time.Second, func() { d.signal(stopped, stopped.cmd.Process, "the process", syscall.SIGTERM) })
	}
	c := newCallers(rec)
	// Callers send to the host for another 2 s, as their look-up answers allow.
	c.run(d.hosts, []route{catalogue, pledges}, 8, 40, 6*time.Second, 10*time.Second)
	c.run([]*entryHost{d.hosts[0], d.hosts[2]}, []route{catalogue, pledges}, 8, 40, 6*time.Second, 8*time.Second)
	c.wg.Wait()
	lost := 0
	for _, x := range lostCalls(c, stopped, append(catalog, donors...)) {
		if cut := x.sent.Add(x.took); cut.Before(termAt.Add(grace * 5 / 6)) {
			lost++
			rec.result("LOST %s: passed on, cut %d ms after the first SIGTERM and %d ms after it was sent: %v", x.id, cut.Sub(termAt).Milliseconds(), x.took.Milliseconds(), x.err)
		}
	}
	rec.result("%d requests that had been passed on ended without an answer", lost)
	return lost > 0, nil
}

// leavingServer makes the store refuse all calls for 75 s, and a server of each pool leave
// meanwhile. They report this with their first heartbeat after the store's return and
// serve on for some seconds. DRAIN: a request that a caller sent later than drain after a
// host had passed on an answer of a server with Server-Leaving reaches that server
// from that host.
func leavingServer(rec *record, trouble bool) (bool, error) {
	const outage, heartbeat = 75 * time.Second, 1500 * time.Millisecond
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.configure(20)
	var leave []*server
	for _, pool := range []string{"catalog", "donors"} {
		servers, err := d.startServers(pool, 4, 5, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		leave = append(leave, servers[0])
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	var returned time.Time
	if trouble {
		time.AfterFunc(4*time.Second, func() { rec.printf("the store refuses all calls"); d.store.SetFaults(standin.Faults{Status: 503}) })
		time.AfterFunc(4*time.Second+outage, func() {
			returned = time.Now()
			rec.printf("the store answers again")
			d.store.SetFaults(standin.Faults{})
			// Servers that were started during the outage publish their entries with
			// their first heartbeat, those that leave with their own.
			time.AfterFunc(heartbeat/5, func() {
				for _, pool := range []string{"catalog", "donors"} {
					s, err := newServer(rec, "i-"+pool+"-new", pool, "alm-b", 5, 15, 60*time.Millisecond)
					if err == nil && s.start() == nil {
						rec.printf("%s publishes its entry", s.ID)
						d.store.Publish(s.ServerEntry, "ready")
					}
				}
			})
			time.AfterFunc(heartbeat, func() {
				for _, s := range leave {
					rec.printf("%s reports draining", s.ID)
					d.store.Publish(s.ServerEntry, "draining")
				}
			})
		})
	}
	time.AfterFunc(8*time.Second, func() {
		for _, s := range leave {
			rec.printf("%s leaves and says so in its answers", s.ID)
			s.setLeaving()
			if !trouble {
				d.store.Publish(s.ServerEntry, "draining")
			}
		}
	})
	c := newCallers(rec)
	c.run(d.hosts, []route{catalogue, pledges}, 40, 60, 3*time.Second, 4*time.Second+outage+4*time.Second)
	c.wg.Wait()
	type toldKey struct {
		host   *entryHost
		server string
	}
	told := map[toldKey]time.Time{}
	byID := map[string]*call{}
	for _, x := range c.calls {
		byID[x.id] = x
		if x.leaving == "" {
			continue
		}
		k, at := toldKey{x.host, x.leaving}, x.sent.Add(x.took)
		if told[k].IsZero() || at.Before(told[k]) {
			told[k] = at
		}
	}
	late := 0
	for _, s := range leave {
		for _, a := range s.arrivals {
			x := byID[a.id]
			if x == nil {
				continue
			}
			at := told[toldKey{x.host, s.ID}]
			if at.IsZero() || x.sent.Sub(at) <= drain {
				continue
			}
			late++
			rec.result("DRAIN %s reached %s from %s; sent %.3f s after that host had passed on that the server leaves, %.3f s after the store's return",
				x.id, s.ID, x.host.name, x.sent.Sub(at).Seconds(), x.sent.Sub(returned).Seconds())
		}
	}
	rec.result("answers passed on that a server leaves: by host and server %d; requests that reached it too late: %d", len(told), late)
	return late > 0, nil
}

// gracefulStop sends one SIGTERM to each of 20 entry hosts, one every 1.3 s, twice over, and
// starts each again once it has ended. Callers hold many kept connections to the host
// that is stopped and go on to use them as long as their look-up answers allow. LOST: a
// request that was passed on to a server ends without an answer.
func gracefulStop(rec *record, trouble bool) (bool, error) {
	const (
		hosts, rounds, gap = 20, 2, 1300 * time.Millisecond
		// conns is the number of kept connections to a host, below its limit of 2870
		// descriptors, of which 200 are for files.
		conns     = 2400
		perSecond = 200
		// The requests are sent from sendAfter on for sendFor, counted from SIGTERM: look-up
		// answers have a ttl of 2 s, and some callers keep them for 6 s.
		sendAfter, sendFor = 2500 * time.Millisecond, 1500 * time.Millisecond
	)
	d, err := newDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.configure(4.3)
	catalog, err := d.startServers("catalog", 8, 20, 60*time.Millisecond)
	if err != nil {
		return false, err
	}
	donors, err := d.startServers("donors", 8, 20, 60*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := d.startHosts(hosts); err != nil {
		return false, err
	}
	servers := append(catalog, donors...)
	var done sync.WaitGroup
	var lost, passedOn atomic.Int64
	for i := range hosts * rounds {
		h := d.current(i % hosts)
		c := newCallers(rec)
		next := time.After(gap)
		c.fill(h, catalogue, conns)
		done.Add(1)
		go func() {
			defer done.Done()
			termAt := time.Now()
			if trouble {
				d.signal(h, h.cmd.Process, "the process", syscall.SIGTERM)
			}
			time.Sleep(sendAfter)
			c.run([]*entryHost{h}, []route{catalogue, pledges}, perSecond, 400, 3*time.Second, sendFor)
			c.wg.Wait()
			for _, x := range lostCalls(c, h, servers) {
				lost.Add(1)
				rec.result("LOST %s to %s: passed on, cut %d ms after SIGTERM and %d ms after it was sent, on a kept connection: %t: %v",
					x.id, h.name, x.sent.Add(x.took).Sub(termAt).Milliseconds(), x.took.Milliseconds(), x.reused, x.err)
			}
			for _, x := range c.calls {
				if x.status == 200 {
					passedOn.Add(1)
				}
			}
			if trouble {
				<-h.ended
				if err := d.restart(h); err != nil {
					rec.result("%v", err)
				}
			}
		}()
		<-next
	}
	done.Wait()
	rec.result("%d requests were answered with 200; %d that had been passed on ended without an answer", passedOn.Load(), lost.Load())
	return lost.Load() > 0, nil
}

// lostCalls returns the calls to a host that reached a server and ended without an
// answer before their route's timeout.
func lostCalls(c *callers, h *entryHost, servers []*server) (lost []*call) {
	ran := map[string]bool{}
	for _, s := range servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			ran[a.id] = true
		}
		s.mu.Unlock()
	}
	for _, x := range c.calls {
		timeout := catalogue.timeout
		if x.id[:1] == "P" {
			timeout = pledges.timeout
		}
		if x.host == h && x.err != nil && ran[x.id] && x.took < timeout {
			lost = append(lost, x)
		}
	}
	return lost
}
