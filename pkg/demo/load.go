package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarackswitch/tamarackswitch/pkg/client"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// stream is the load of one rank from one domain's callers.
type stream struct {
	rank     tables.Rank
	route    string
	method   string
	path     string
	every    time.Duration
	deadline time.Duration
	// from and to bound the stream in time, as fractions of the run; both 0
	// means the whole run.
	from, to float64
	// keyed streams send an idempotency key with each request.
	keyed bool
}

// rankCount collects the outcomes of one rank.
type rankCount struct {
	offered, answered, onTime int
	refusals                  map[result.RunState]int
	codes                     map[result.Code]int
	latency                   *hdrhistogram.Histogram
}

// load plays streams and records what callers saw.
type load struct {
	cluster *Cluster
	checker *invariant.Checker

	mu    sync.Mutex
	ranks map[tables.Rank]*rankCount
	seq   int
	// onceWork names the work of rank once, which must not run twice.
	onceWork map[string]bool
}

// Bounds of the latency histograms in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(60 * time.Second / time.Microsecond)
	latencyDigits  = 3
)

func newLoad(c *Cluster, checker *invariant.Checker) *load {
	l := &load{cluster: c, checker: checker, ranks: map[tables.Rank]*rankCount{}, onceWork: map[string]bool{}}
	for _, r := range tables.Ranks {
		l.ranks[r] = &rankCount{
			refusals: map[result.RunState]int{}, codes: map[result.Code]int{}, latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
	}
	return l
}

// run plays all streams from every domain until ctx ends, then waits for the
// requests on their way.
func (l *load) run(ctx context.Context, total time.Duration, streams []stream) {
	start := time.Now()
	var wg sync.WaitGroup
	for d := range l.cluster.Config.Domains {
		caller := client.New(client.Config{
			Seeds: l.cluster.Seeds(), ClientAddress: l.cluster.ClientAddress(d), Group: fmt.Sprintf("group-%d", d),
		})
		for _, s := range streams {
			wg.Go(func() {
				if s.to == 0 {
					l.play(ctx, caller, s, &wg)
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(s.from * float64(total))):
				}
				part, cancel := context.WithDeadline(ctx, start.Add(time.Duration(s.to*float64(total))))
				defer cancel()
				l.play(part, caller, s, &wg)
			})
		}
	}
	wg.Wait()
}

// play sends one request per period, each in its own goroutine, so that slow
// answers do not reduce the load.
func (l *load) play(ctx context.Context, caller *client.Client, s stream, wg *sync.WaitGroup) {
	t := time.NewTicker(s.every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			wg.Go(func() { l.send(caller, s) })
		}
	}
}

func (l *load) send(caller *client.Client, s stream) {
	l.mu.Lock()
	l.seq++
	work := fmt.Sprintf("work-%d", l.seq)
	l.ranks[s.rank].offered++
	if s.rank == tables.Once {
		l.onceWork[work] = true
	}
	l.mu.Unlock()
	req := client.Request{
		Method: s.method, Path: s.path + "/" + work, Route: s.route, Deadline: s.deadline,
		Idempotent: s.rank != tables.Once, Header: http.Header{backend.HeaderWork: {work}},
	}
	if s.method == http.MethodPost {
		req.Body = []byte("item " + work)
	}
	if s.keyed {
		req.Key = client.NewKey
	}
	start := time.Now()
	resp, err := caller.Do(context.Background(), req)
	took := time.Since(start)
	if err != nil {
		l.refused(s, work, result.From(err))
		return
	}
	l.answered(s, work, resp, took)
}

func (l *load) answered(s stream, work string, resp *client.Response, took time.Duration) {
	var body backend.Body
	whole := json.Unmarshal(resp.Body, &body) == nil
	l.checker.Answered(work, body.Work, whole)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.ranks[s.rank]
	c.answered++
	if took <= s.deadline {
		c.onTime++
	}
	_ = c.latency.RecordValue(took.Microseconds())
}

func (l *load) refused(s stream, work string, err *result.Error) {
	l.checker.Refused(work, err.Run)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranks[s.rank].refusals[err.Run]++
	l.ranks[s.rank].codes[err.Code]++
}
