package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// deployment holds the sizes of design 1.2 that the domain scenarios use.
type deployment struct {
	name    string
	regions []string
	pool    string
	servers int
	slots   int // per server
	linkCap float64
	service time.Duration // mean service time
	// coldExtra is how much longer a request takes while the caches are cold
	// for its callers, as a multiple of its service time.
	coldExtra float64
}

// Latencies and load of the model.
const (
	domainsPerRegion = 2
	nearRTT          = time.Millisecond
	farRTT           = 70 * time.Millisecond
	modelShiftCap    = tables.DefaultShiftCap
	modelReserve     = 0.1 // fraction of the slots that a lender keeps
	modelLoad        = 0.6 // offered load over all slots
	modelQueue       = tables.DefaultQueue
	lookupTTL        = 10 * time.Second
	reportLag        = 2 * time.Second // of the baseline's load reports
	askPeriod        = 100 * time.Millisecond
	// warmRequests of one domain's callers warm the caches for them.
	warmRequests = 1000
)

var (
	qogamy = deployment{"qogamy", []string{"almaty", "astana", "aktobe"}, "catalog", 16, 5, 500e6, 40 * time.Millisecond, 0}
	souss  = deployment{"consortium", []string{"agadir", "taroudant", "berkane"}, "stock", 12, 8, 35e6, 40 * time.Millisecond, 0}
	// rankMix is the share of each rank in the requests.
	rankMix = [3]float64{0.5, 0.2, 0.3}
	// rankDeadline is the deadline of each rank.
	rankDeadline = [3]time.Duration{400 * time.Millisecond, 2 * time.Second, 2 * time.Second}
)

// cold returns the deployment with caches that triple the service time while
// they are cold.
func (d deployment) cold() deployment {
	d.coldExtra = 2
	return d
}

// task is one request.
type task struct {
	id       int
	rank     int
	home     *domainNode
	deadline time.Time
	service  time.Duration
	choice   spill.Choice
	from     *domainNode // entry domain
	relayed  bool
	tries    int
}

// domainNode is a failure domain with its dispatcher and servers.
type domainNode struct {
	name, region string
	index        int
	slots        int
	up           bool
	epoch        uint64
	lender       *spill.Lender
	borrower     *spill.Borrower
	queues       [3][]*task
	localBusy    int // running requests of this entry domain
	lentBusy     int // running requests of other entry domains
	loadLog      []float64
	warm         []int // requests served per home, which fill the caches
}

func (d *domainNode) busy() int { return d.localBusy + d.lentBusy }

func (d *domainNode) queued() int { return len(d.queues[0]) + len(d.queues[1]) + len(d.queues[2]) }

func (d *domainNode) lendable() int {
	reserve := max(1, int(modelReserve*float64(d.slots)))
	return d.slots - d.localBusy - d.queued() - reserve
}

// wait returns the expected wait of a new request of the rank.
func (d *domainNode) wait(rank int, mean time.Duration) time.Duration {
	ahead := 0
	for r := 0; r <= rank; r++ {
		ahead += len(d.queues[r])
	}
	if d.busy() < d.slots && ahead == 0 {
		return 0
	}
	return time.Duration(ahead+1) * mean / time.Duration(max(d.slots, 1))
}

// domainWorld runs one pool of a deployment.
type domainWorld struct {
	*vtime.Scheduler
	dep      deployment
	nodes    []*domainNode
	check    *invariant.Checker
	baseline bool
	log      []string
	nextID   int
	down     map[*domainNode]time.Time // when a returned domain came back
	stats    domainStats
}

// domainStats counts by second since the start.
type domainStats struct {
	offered, served [3][]int
	ownOffered      int // urgent requests of callers at home in domains that stay up
	ownServed       int
	relays          map[string][]float64 // slot seconds of relayed work per pair and second
	wrongDomain     int                  // relays that were refused or lost
	peakLent        float64              // most work of others at a receiver, as a fraction of its slots
	asks            int
}

func newDomainWorld(seed uint64, dep deployment, seconds int, baseline bool) *domainWorld {
	w := &domainWorld{Scheduler: vtime.New(seed), dep: dep, check: invariant.New(), baseline: baseline, down: map[*domainNode]time.Time{}}
	for r := range w.stats.offered {
		w.stats.offered[r] = make([]int, seconds+1)
		w.stats.served[r] = make([]int, seconds+1)
	}
	w.stats.relays = map[string][]float64{}
	count := len(dep.regions) * domainsPerRegion
	for i := range count {
		servers := dep.servers / count
		if i < dep.servers%count {
			servers++
		}
		region := dep.regions[i/domainsPerRegion]
		d := &domainNode{name: fmt.Sprintf("%s-%d", region, i%domainsPerRegion+1), region: region, index: i, slots: servers * dep.slots}
		w.nodes = append(w.nodes, d)
	}
	for _, d := range w.nodes {
		w.start(d, false)
	}
	w.Every(askPeriod, w.ask)
	w.Every(askPeriod, w.sample)
	for _, d := range w.nodes {
		rate := modelLoad * float64(d.slots) / dep.service.Seconds()
		w.arrivals(d, time.Duration(float64(time.Second)/rate))
	}
	return w
}

// start creates the dispatcher of a domain.
func (w *domainWorld) start(d *domainNode, returning bool) {
	d.up = true
	d.epoch++
	d.warm = make([]int, len(w.nodes))
	if !returning {
		d.warm[d.index] = warmRequests
	}
	d.lender = spill.NewLender(spill.LenderConfig{Domain: d.name, Pool: w.dep.pool, Slots: d.slots,
		ShiftCap: modelShiftCap, Epoch: d.epoch, Rand: w.Rand})
	var peers []spill.PeerDomain
	for _, o := range w.nodes {
		if o != d {
			peers = append(peers, spill.PeerDomain{Domain: o.name, Region: o.region, RTT: w.rtt(d, o)})
		}
	}
	d.borrower = spill.NewBorrower(w.Now(), spill.BorrowerConfig{Domain: d.name, Region: d.region, Pool: w.dep.pool,
		Slots: d.slots, ShiftCap: modelShiftCap, Returning: returning, Rand: w.Rand, Peers: peers}, nil)
}

func (w *domainWorld) rtt(a, b *domainNode) time.Duration {
	switch {
	case a == b:
		return 0
	case a.region == b.region:
		return nearRTT
	}
	return farRTT
}

func (w *domainWorld) node(name string) *domainNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(d *domainNode) bool { return d.name == name })]
}

// lose stops the domains and gives them back after a time.
func (w *domainWorld) lose(at, duration time.Duration, lost ...int) {
	w.After(at, func() {
		for _, i := range lost {
			d := w.nodes[i]
			d.up, d.queues, d.localBusy, d.lentBusy = false, [3][]*task{}, 0, 0
			d.epoch++
			w.logf("lost %s", d.name)
		}
	})
	w.After(at+duration, func() {
		for _, i := range lost {
			w.start(w.nodes[i], true)
			w.down[w.nodes[i]] = w.Now()
			w.logf("returned %s", w.nodes[i].name)
		}
	})
}

func (w *domainWorld) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// arrivals starts the callers at home in d.
func (w *domainWorld) arrivals(d *domainNode, gap time.Duration) {
	var next func()
	next = func() {
		w.After(w.Exponential(gap), next)
		w.arrive(d)
	}
	w.After(w.Exponential(gap), next)
}

func (w *domainWorld) arrive(home *domainNode) {
	rank, u := 0, w.Rand.Float64()
	for u >= rankMix[rank] && rank < 2 {
		u -= rankMix[rank]
		rank++
	}
	w.nextID++
	t := &task{id: w.nextID, rank: rank, home: home, deadline: w.Now().Add(rankDeadline[rank])}
	t.service = w.dep.service/4 + w.Exponential(w.dep.service*3/4)
	w.stats.offered[rank][int(w.Elapsed().Seconds())]++
	if rank == 0 && w.steady(home) {
		w.stats.ownOffered++
	}
	entry := w.entryFor(home)
	if entry == nil {
		return
	}
	t.from = entry
	w.place(t)
}

// steady reports whether the domain has been up all the time.
func (w *domainWorld) steady(d *domainNode) bool { return d.up && d.epoch == 1 }

// entryFor returns the entry domain that a caller uses: its own, or the next
// live one in its lookup answer. After a return the callers come back as their
// cached answers expire and lookups name the domain again.
func (w *domainWorld) entryFor(home *domainNode) *domainNode {
	lookedUp := w.Now().Add(-time.Duration(w.Rand.Float64() * float64(lookupTTL)))
	share, u := 1.0, w.Rand.Float64()
	if back, ok := w.down[home]; ok {
		share = spill.ReturnShare(lookedUp.Sub(back), modelShiftCap)
		if w.baseline && !lookedUp.Before(back) {
			share = 1
		}
	}
	if home.up && u < share {
		return home
	}
	near := w.nodes[home.index^1]
	if near.up && !w.returning(near) {
		return near
	}
	start := w.Rand.IntN(len(w.nodes))
	for i := range w.nodes {
		if d := w.nodes[(start+i)%len(w.nodes)]; d.up && d != home && !w.returning(d) {
			return d
		}
	}
	return nil
}

// returning reports whether the domain has come back recently, so that lookups
// do not name it as a substitute for others.
func (w *domainWorld) returning(d *domainNode) bool {
	back, ok := w.down[d]
	return ok && w.Now().Sub(back) < 2*lookupTTL
}

// place chooses the domain of a task at its entry domain.
func (w *domainWorld) place(t *task) {
	if w.baseline {
		w.placeByLoad(t)
		return
	}
	d := t.from
	n := spill.Need{Rank: tables.Ranks[t.rank], Home: t.home.name, Service: w.dep.service, Left: t.deadline.Sub(w.Now())}
	local := spill.LocalState{Slots: d.slots, Running: d.busy() + d.queued(), Wait: d.wait(t.rank, w.dep.service)}
	t.choice = d.borrower.Choose(w.Now(), n, local)
	switch {
	case t.choice.Local:
		w.enqueue(d, t)
	case t.choice.Credit != nil:
		w.relay(t, w.node(t.choice.Domain))
	}
}

// relay sends a task to another domain, which accepts it under the credit.
func (w *domainWorld) relay(t *task, to *domainNode) {
	t.relayed = true
	epoch := t.from.epoch
	w.After(w.rtt(t.from, to)/2, func() {
		if !to.up || to.lender.Accept(w.Now(), *t.choice.Credit, to.lendable()) != nil {
			w.stats.wrongDomain++
			w.After(w.rtt(t.from, to)/2, func() {
				if t.from.epoch == epoch {
					t.from.borrower.PauseDomain(w.Now(), to.name)
					t.from.borrower.Done(w.Now(), t.choice)
					w.placeAgain(t)
				}
			})
			return
		}
		w.enqueue(to, t)
	})
}

// placeAgain chooses once more for a task that another domain refused.
func (w *domainWorld) placeAgain(t *task) {
	if t.tries++; t.tries < 3 {
		t.relayed = false
		w.place(t)
	}
}

// limit returns the slots that the dispatcher may use.
func (w *domainWorld) limit(d *domainNode) int {
	if w.baseline {
		return d.slots
	}
	return d.lentBusy + min(d.slots-d.lentBusy, d.borrower.LocalLimit(w.Now(), d.slots))
}

// enqueue queues a task at the servers of d, unless the queue is full.
func (w *domainWorld) enqueue(d *domainNode, t *task) {
	if len(d.queues[t.rank]) >= modelQueue {
		w.release(d, t)
		return
	}
	d.queues[t.rank] = append(d.queues[t.rank], t)
	w.dispatch(d)
}

// dispatch starts queued tasks on free slots, urgent first; a task whose
// deadline cannot be met is dropped.
func (w *domainWorld) dispatch(d *domainNode) {
	for r := range d.queues {
		for len(d.queues[r]) > 0 && d.busy() < w.limit(d) {
			t := d.queues[r][0]
			d.queues[r] = d.queues[r][1:]
			if w.Now().After(t.deadline) {
				w.release(d, t)
				continue
			}
			w.run(d, t)
		}
	}
}

func (w *domainWorld) run(d *domainNode, t *task) {
	w.busy(d, t, 1)
	w.check.Load(d.name, d.busy(), d.slots)
	if t.relayed || t.home != d {
		key := t.home.name + ">" + d.name
		if w.stats.relays[key] == nil {
			w.stats.relays[key] = make([]float64, len(w.stats.offered[0]))
		}
		w.stats.relays[key][int(w.Elapsed().Seconds())] += t.service.Seconds()
	}
	epoch := d.epoch
	w.After(w.coldService(d, t), func() {
		if d.epoch != epoch {
			return // the domain was lost meanwhile
		}
		w.busy(d, t, -1)
		w.release(d, t)
		done := w.Now().Add(w.rtt(t.from, d) / 2)
		if !done.After(t.deadline) && t.from.up {
			w.stats.served[t.rank][int(t.deadline.Add(-rankDeadline[t.rank]).Sub(vtime.Epoch).Seconds())]++
			if t.rank == 0 && w.steady(t.home) {
				w.stats.ownServed++
			}
		}
		w.dispatch(d)
	})
}

// coldService returns the service time of a task: longer while the caches of d
// are cold for the callers at home in t.home.
func (w *domainWorld) coldService(d *domainNode, t *task) time.Duration {
	warm := min(d.warm[t.home.index]+1, warmRequests)
	d.warm[t.home.index] = warm
	cold := 1 - float64(warm)/warmRequests
	return time.Duration(float64(t.service) * (1 + w.dep.coldExtra*cold))
}

func (w *domainWorld) busy(d *domainNode, t *task, by int) {
	if t.relayed {
		d.lentBusy += by
	} else {
		d.localBusy += by
	}
}

// release gives back what the task held.
func (w *domainWorld) release(d *domainNode, t *task) {
	if w.baseline {
		return
	}
	if t.relayed {
		d.lender.Release(w.Now(), t.from.name)
	}
	t.from.borrower.Done(w.Now(), t.choice)
}
