package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const labDomain = "d"

func serverName(domain, i int) string { return fmt.Sprintf("10.%d.0.%d:80", domain, i+1) }

func hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

// node is one entry host of the dispatcher front.
type node struct {
	name    string
	holder  *slots.Holder
	disp    *slots.Dispatcher // nil if the node is not the dispatcher
	leader  *node
	waiting map[uint64]*work
	started map[uint64]*work
	dead    bool
	paused  bool
	cut     bool     // no messages to and from other nodes
	inbox   []func() // deliveries that wait for the end of a pause
}

// dispatchFront sends every request through the dispatcher of the pool.
type dispatchFront struct {
	lab   *lab
	pool  tables.Pool
	nodes []*node
	byID  map[string]*node
	// log records decisions if it is not nil.
	log *[]string
	// grants are the times of grants to hosts other than the first, which is
	// the one that fails; kept if traced is set.
	traced bool
	grants []time.Duration
}

func newDispatchFront(l *lab, p sizedPool) *dispatchFront {
	f := &dispatchFront{lab: l, byID: map[string]*node{}}
	f.pool = tables.Pool{Name: p.name, Slots: p.slots}.WithDefaults()
	for _, b := range l.backends {
		f.pool.Servers = append(f.pool.Servers, tables.Server{Address: b.name, Domain: labDomain})
	}
	for i := range hostsPerDomain {
		n := &node{name: hostName(i), holder: slots.NewHolder(hostName(0)), waiting: map[uint64]*work{}, started: map[uint64]*work{}}
		f.nodes = append(f.nodes, n)
		f.byID[n.name] = n
	}
	f.nodes[0].disp = f.newDispatcher(f.nodes[0])
	for _, n := range f.nodes {
		n.leader = f.nodes[0]
	}
	l.front = f
	l.sched.Every(slots.TickPeriod, f.tick)
	return f
}

func (f *dispatchFront) newDispatcher(n *node) *slots.Dispatcher {
	return slots.New(slots.Config{Pool: f.pool, Domain: labDomain, Self: n.name, Epoch: uint64(f.lab.sched.Now().UnixMilli())})
}

func (f *dispatchFront) tick() {
	for _, n := range f.nodes {
		if n.disp != nil && !n.dead && !n.paused {
			f.deliver(n, n.disp.Tick(f.lab.sched.Now()))
		}
	}
}

// on runs fn on a node: not on a dead one, and after the end of a pause.
func (f *dispatchFront) on(n *node, fn func()) {
	switch {
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, fn)
	default:
		fn()
	}
}

// send delivers a message unless one end is cut off.
func (f *dispatchFront) send(from, to *node, fn func()) {
	if from == to {
		f.on(to, fn)
		return
	}
	f.lab.sched.After(oneWay, func() {
		if !from.cut && !to.cut {
			f.on(to, fn)
		}
	})
}

// submit gives the request to its host, or to the next one if that is dead.
func (f *dispatchFront) submit(w *work) {
	for f.nodes[w.host].dead {
		w.host = (w.host + 1) % len(f.nodes)
	}
	n := f.nodes[w.host]
	f.on(n, func() {
		n.waiting[w.id] = w
		f.offer(n, w)
	})
}

func (f *dispatchFront) offer(n *node, w *work) {
	leader := n.leader
	r := slots.Request{ID: w.id, Host: n.name, Rank: w.rank, Group: w.group, Deadline: w.deadline, Once: w.rank == onceRank}
	f.send(n, leader, func() {
		if leader.disp != nil {
			f.deliver(leader, leader.disp.Offer(f.lab.sched.Now(), r))
		}
	})
}

func (f *dispatchFront) deliver(from *node, ds []slots.Decision) {
	for _, d := range ds {
		f.note(d)
		n := f.byID[d.Host]
		f.send(from, n, func() { f.handle(n, from, d) })
	}
}

func (f *dispatchFront) note(d slots.Decision) {
	if f.log == nil {
		return
	}
	line := fmt.Sprintf("%9.3fms %s %d ", float64(f.lab.sched.Elapsed().Microseconds())/1000, d.Host, d.ID)
	switch d.Kind {
	case slots.Granted:
		line += fmt.Sprintf("granted %s %s", tables.Ranks[d.Grant.Rank], d.Grant.Server)
	case slots.Refused:
		line += fmt.Sprintf("refused %s %s retry-after %s", d.Err.Code.Name(), d.Err.Run, d.Err.RetryAfter.Round(time.Millisecond))
	case slots.AskHeld:
		line += "asked for held grants"
	}
	*f.log = append(*f.log, line)
}

func (f *dispatchFront) handle(n, from *node, d slots.Decision) {
	now := f.lab.sched.Now()
	switch d.Kind {
	case slots.Granted:
		f.start(n, from, d.Grant)
	case slots.Refused:
		if w := n.waiting[d.ID]; w != nil {
			delete(n.waiting, d.ID)
			f.lab.refuse(w, d.Err.Run)
		}
	case slots.AskHeld:
		held, ok := n.holder.Answer(now, from.name, d.Epoch)
		if !ok {
			return
		}
		f.send(n, from, func() {
			if from.disp != nil {
				f.deliver(from, from.disp.HandleHeld(f.lab.sched.Now(), n.name, held))
			}
		})
		f.offerAll(n)
	}
}

// start runs a granted request if the grant may still be used.
func (f *dispatchFront) start(n, from *node, g slots.Grant) {
	w := n.waiting[g.ID]
	verdict := slots.Stale
	if w != nil {
		verdict = n.holder.Take(f.lab.sched.Now(), g)
	}
	if verdict == slots.Duplicate || n.started[g.ID] != nil {
		return
	}
	if verdict == slots.Stale {
		f.send(n, from, func() { f.release(from, n.name, g.ID, slots.Outcome{Kind: slots.Unused}) })
		return
	}
	delete(n.waiting, g.ID)
	n.started[w.id] = w
	b := f.backend(g.Server)
	if f.traced && n != f.nodes[0] {
		f.grants = append(f.grants, f.lab.sched.Elapsed())
	}
	sent := f.lab.sched.Now()
	f.lab.run(w, b, w.deadline, func(shed, timeout bool) {
		f.on(n, func() {
			f.ended(n, w, slots.Outcome{Kind: kindOf(shed, timeout), Service: f.lab.sched.Now().Sub(sent)})
		})
	})
}

func kindOf(shed, timeout bool) slots.OutcomeKind {
	switch {
	case shed:
		return slots.Shed
	case timeout:
		return slots.Timeout
	}
	return slots.OK
}

func (f *dispatchFront) ended(n *node, w *work, o slots.Outcome) {
	n.holder.Done(w.id)
	delete(n.started, w.id)
	switch o.Kind {
	case slots.OK:
		f.lab.answer(w)
	case slots.Shed:
		f.lab.refuse(w, result.NotRun)
	default:
		f.lab.refuse(w, result.Unknown)
	}
	leader := n.leader
	f.send(n, leader, func() { f.release(leader, n.name, w.id, o) })
}

func (f *dispatchFront) release(leader *node, host string, id uint64, o slots.Outcome) {
	if leader.disp != nil {
		f.deliver(leader, leader.disp.Release(f.lab.sched.Now(), host, id, o))
	}
}

func (f *dispatchFront) backend(address string) *backend {
	for _, b := range f.lab.backends {
		if b.name == address {
			return b
		}
	}
	panic("no server " + address)
}

// follow makes leader the dispatcher in the view of n.
func (f *dispatchFront) follow(n, leader *node) {
	n.leader = leader
	n.holder.Follow(leader.name)
	if n != leader {
		n.disp = nil
	}
	f.offerAll(n)
}

// offerAll asks the dispatcher again for all waiting requests of n.
func (f *dispatchFront) offerAll(n *node) {
	for _, id := range slices.Sorted(maps.Keys(n.waiting)) {
		f.offer(n, n.waiting[id])
	}
}

// lead makes n the dispatcher and asks hosts which grants they hold. Its own
// waiting requests follow with its answer.
func (f *dispatchFront) lead(n *node, hosts ...*node) {
	n.disp, n.leader = f.newDispatcher(n), n
	n.holder.Follow(n.name)
	var names []string
	for _, h := range hosts {
		names = append(names, h.name)
	}
	f.deliver(n, n.disp.Recover(f.lab.sched.Now(), names))
}
