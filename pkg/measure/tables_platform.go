package measure

import (
	"context"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

var tableNames = [2]string{tables.RoutesName, tables.PoolsName}

// platformCall counts one call of the platform.
func (n *tableNet) platformCall(write bool) {
	now := n.sched.Now()
	n.check.PlatformCall(now, write)
	if !n.from.IsZero() {
		n.calls[now.Unix()]++
	}
}

// platformDelay is the one-way delay to the platform, which is in region 0.
func (n *tableNet) platformDelay(h *tableHost) time.Duration {
	if h.region == 0 {
		return nearDelay
	}
	return farDelay
}

// watchLoop is one watch after another while the host is a watcher.
func (n *tableNet) watchLoop(h *tableHost, loop int) {
	if !h.alive || h.watch != loop {
		return
	}
	n.count(h, callOverhead)
	n.sched.After(n.platformDelay(h), func() {
		objects, _, err := n.callChanges(h)
		switch {
		case err != nil:
			n.sched.After(tableRetry+n.random(tableRetry), func() { n.watchLoop(h, loop) })
		case len(objects) > 0:
			n.answerWatch(h, loop, objects)
		default:
			n.waiting[h] = loop
			n.sched.After(platform.MaxWatch, func() {
				if n.waiting[h] == loop {
					delete(n.waiting, h)
					n.answerWatch(h, loop, nil)
				}
			})
		}
	})
}

// callChanges is a watch that does not wait, as the platform sees it.
func (n *tableNet) callChanges(h *tableHost) ([]platform.Object, int64, error) {
	if n.cut[h.domain] {
		return nil, 0, platform.ErrUnavailable
	}
	n.platformCall(false)
	return n.store.Changes(platform.TablesPrefix, h.after)
}

// answerWatch delivers the answer to a watch and begins the next one.
func (n *tableNet) answerWatch(h *tableHost, loop int, objects []platform.Object) {
	incarnation := h.incarnation
	n.sched.After(n.platformDelay(h), func() {
		if h.incarnation == incarnation && !n.cut[h.domain] {
			n.fromPlatform(h, objects)
		}
		n.watchLoop(h, loop)
	})
}

func (n *tableNet) fromPlatform(h *tableHost, objects []platform.Object) {
	if !h.alive {
		return
	}
	for _, o := range objects {
		n.count(h, len(o.Value)*4/3+callOverhead) // JSON has the value in base64
		h.after = max(h.after, o.Version)
	}
	n.sendAll(h, h.sync.FromPlatform(n.sched.Now(), objects...))
	n.observe(h)
}

// poll reads what a silent watch may have missed, and everything after the
// store was restored to an older state.
func (n *tableNet) poll(h *tableHost) {
	incarnation := h.incarnation
	n.count(h, callOverhead)
	n.sched.After(n.platformDelay(h), func() {
		objects, version, err := n.callChanges(h)
		if err == nil && version < h.after {
			n.platformCall(false)
			objects, err = n.store.List(context.Background(), platform.TablesPrefix)
		}
		if err != nil {
			return
		}
		n.sched.After(n.platformDelay(h), func() {
			if h.incarnation == incarnation && !n.cut[h.domain] {
				n.fromPlatform(h, objects)
			}
		})
	})
}

// changed notes accepted tables and answers the watches that wait for them.
func (n *tableNet) changed() {
	fresh := false
	for i, name := range tableNames {
		objects, _, _ := n.store.Changes(platform.TablesPrefix+name, n.latest[i])
		for _, o := range objects {
			n.latest[i], fresh = o.Version, true
			n.check.Accepted(n.sched.Now(), name, o.Version)
			n.edits = append(n.edits, &tableEdit{table: i, version: o.Version, at: n.sched.Now()})
		}
	}
	if !fresh {
		return
	}
	for _, h := range n.waitingHosts() {
		loop := n.waiting[h]
		if n.cfg.silentWatch || n.cut[h.domain] || !h.alive || h.watch != loop {
			continue // the answer is lost; the poll notices
		}
		delete(n.waiting, h)
		objects, _, err := n.store.Changes(platform.TablesPrefix, h.after)
		if err == nil {
			n.answerWatch(h, loop, objects)
		}
	}
}

// waitingHosts returns the hosts with a waiting watch in order.
func (n *tableNet) waitingHosts() []*tableHost {
	var hosts []*tableHost
	for _, h := range n.hosts {
		if _, ok := n.waiting[h]; ok {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// setOutage starts or ends an outage of the platform; waiting watches fail.
func (n *tableNet) setOutage(on bool) {
	n.store.SetOutage(on)
	if !on {
		return
	}
	for _, h := range n.waitingHosts() {
		loop := n.waiting[h]
		delete(n.waiting, h)
		n.sched.After(tableRetry+n.random(tableRetry), func() { n.watchLoop(h, loop) })
	}
}

// setCut cuts a domain off or heals it. A healed host has ConfigDelay to get
// what it missed.
func (n *tableNet) setCut(domain string, on bool) {
	n.cut[domain] = on
	for _, h := range n.hosts {
		if h.domain != domain {
			continue
		}
		process := h.process()
		if on {
			n.check.Require(process, false)
			continue
		}
		n.sched.After(healGrace, func() { n.check.Require(process, h.alive && process == h.process() && !n.cut[h.domain]) })
	}
}

// healGrace is a moment longer than the time in which a healed host has to
// catch up.
const healGrace = 7*time.Second + time.Millisecond

// at runs fn at a virtual time after the start.
func (n *tableNet) at(d time.Duration, fn func()) { n.sched.After(d-n.sched.Elapsed(), fn) }

// elapsed is the time that log lines carry.
func (n *tableNet) elapsed() time.Duration { return n.sched.Now().Sub(vtime.Epoch) }
