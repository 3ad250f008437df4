package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

const (
	// memberFrameBytes is added per message for WebSocket, TCP and IP headers.
	memberFrameBytes = 60
	memberDelay      = 500 * time.Microsecond
	// memberSkew is the largest difference of a clock from the true time.
	memberSkew = 250 * time.Millisecond
	// memberAlone is a difference that leaves hosts without a common probe
	// order; it stands for an order of its own per host.
	memberAlone   = time.Hour
	memberRegions = 35 * time.Millisecond
)

// memberHost is a host with its process.
type memberHost struct {
	index        int
	domain, name string
	node         *membership.Node
	summaries    *membership.Summaries
	up           bool
	pausedUntil  time.Time
	waiting      []func()
	skew         time.Duration

	messages, bytes int
}

// memberNet connects hosts under virtual time.
type memberNet struct {
	*vtime.Scheduler
	hosts     []*memberHost
	byAddress map[string]*memberHost
	loss      float64
	skew      time.Duration
	domains   int
	events    func(observer *memberHost, e membership.Event)
}

func newMemberNet(seed uint64, size, domains int, loss float64, skew time.Duration) *memberNet {
	n := &memberNet{Scheduler: vtime.New(seed), byAddress: map[string]*memberHost{}, loss: loss, skew: skew, domains: domains}
	for i := range size {
		h := &memberHost{index: i, domain: fmt.Sprintf("domain-%d", i%domains), name: fmt.Sprintf("entry-host-%03d", i)}
		n.hosts = append(n.hosts, h)
		n.byAddress[n.address(h)] = h
	}
	for _, h := range n.hosts {
		n.start(h)
	}
	return n
}

func (n *memberNet) address(h *memberHost) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", h.index%9, h.index/200, h.index%200)
}

// start runs a new process on a host.
func (n *memberNet) start(h *memberHost) {
	node := membership.New(membership.Config{Name: h.name, Address: n.address(h), Incarnation: n.Now().UnixMilli() + 1})
	h.node, h.up = node, true
	h.skew = time.Duration(n.Rand.Int64N(int64(2*n.skew))) - n.skew
	seeds := map[string][]string{}
	for _, o := range n.hosts {
		if len(seeds[o.domain]) < 3 {
			seeds[o.domain] = append(seeds[o.domain], n.address(o))
		}
	}
	h.summaries = membership.NewSummaries(h.domain, h.name, seeds)
	n.send(h, node.Join(n.clock(h), seeds[h.domain]))
	var tick func()
	tick = func() {
		if h.node != node || !h.up {
			return
		}
		if !n.Now().Before(h.pausedUntil) {
			n.tick(h)
		}
		n.After(membership.TickInterval, tick)
	}
	n.After(time.Duration(n.Rand.Int64N(int64(membership.TickInterval))), tick)
}

func (n *memberNet) clock(h *memberHost) time.Time { return n.Now().Add(h.skew) }

func (n *memberNet) tick(h *memberHost) {
	n.send(h, h.node.Tick(n.clock(h), n.Rand))
	n.report(h)
	if n.domains == 1 {
		return
	}
	live := h.node.Live(n.clock(h))
	n.sendSummaries(h, h.summaries.Tick(n.clock(h), live, func(version int64) membership.Summary {
		return n.summary(h, version, live)
	}))
}

func (n *memberNet) summary(h *memberHost, version int64, live []membership.Member) membership.Summary {
	s := membership.Summary{
		Versions: map[string]int64{"routes": 1000, "pools": 1000},
		Headroom: map[string]int64{"catalog": 40, "orders": 20, "donors": 30},
	}
	for _, m := range membership.ChooseEntryHosts(h.domain, version, live) {
		s.Hosts = append(s.Hosts, membership.EntryHost{
			Name: m.Name, Address: m.Address, Incarnation: m.Incarnation,
			KeyPrefix: fmt.Sprintf("k1.%s.%s.%d.1000", h.domain, m.Name, m.Incarnation),
		})
	}
	return s
}

func (n *memberNet) report(h *memberHost) {
	for _, e := range h.node.TakeEvents() {
		if n.events != nil {
			n.events(h, e)
		}
	}
}

func (n *memberNet) send(from *memberHost, out []membership.Outgoing) {
	for _, o := range out {
		b, err := membership.Encode(o.Message)
		if err != nil {
			panic(err)
		}
		n.carry(from, o.Address, len(b), func(to *memberHost) {
			n.send(to, to.node.Receive(n.clock(to), o.Message))
			n.report(to)
		})
	}
}

func (n *memberNet) sendSummaries(from *memberHost, out []membership.SummaryOutgoing) {
	for _, o := range out {
		b, err := membership.EncodeSummary(o.Summary)
		if err != nil {
			panic(err)
		}
		n.carry(from, o.Address, len(b), func(to *memberHost) {
			live := to.node.Live(n.clock(to))
			n.sendSummaries(to, to.summaries.Receive(n.clock(to), o.Summary, from.domain != to.domain, live))
		})
	}
}

// carry counts a message at both ends and delivers it unless it is lost.
func (n *memberNet) carry(from *memberHost, address string, size int, deliver func(*memberHost)) {
	size += memberFrameBytes
	from.messages++
	from.bytes += size
	to := n.byAddress[address]
	if to == nil || n.Rand.Float64() < n.loss {
		return
	}
	delay := memberDelay
	if from.domain != to.domain {
		delay = memberRegions
	}
	n.After(delay, func() { n.arrive(to, size, deliver) })
}

// arrive hands a message to a process, or keeps it while it is paused.
func (n *memberNet) arrive(to *memberHost, size int, deliver func(*memberHost)) {
	if !to.up {
		return
	}
	if n.Now().Before(to.pausedUntil) {
		to.waiting = append(to.waiting, func() { n.arrive(to, size, deliver) })
		return
	}
	to.messages++
	to.bytes += size
	deliver(to)
}

// pause stops a process; it ticks before it reads what was waiting.
func (n *memberNet) pause(h *memberHost, d time.Duration) {
	h.pausedUntil = n.Now().Add(d)
	node := h.node
	n.After(d, func() {
		waiting := h.waiting
		h.waiting = nil
		if h.node != node || !h.up {
			return
		}
		n.tick(h)
		for _, fn := range waiting {
			fn()
		}
	})
}

func (n *memberNet) run(d time.Duration) { n.RunUntil(n.Elapsed() + d) }

// cost runs for d and returns the mean messages and bytes per host and second,
// sent and received together, and the largest bytes of one host.
func (n *memberNet) cost(d time.Duration) (messages, bytes, largest float64) {
	for _, h := range n.hosts {
		h.messages, h.bytes = 0, 0
	}
	n.run(d)
	for _, h := range n.hosts {
		messages += float64(h.messages) / d.Seconds() / float64(len(n.hosts))
		bytes += float64(h.bytes) / d.Seconds() / float64(len(n.hosts))
		largest = max(largest, float64(h.bytes)/d.Seconds())
	}
	return messages, bytes, largest
}
