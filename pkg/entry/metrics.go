package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const namespace = "tamarackswitch"

// metrics are the metrics of one host, in a registry of its own so that several
// hosts can run in one process.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	lookups  prometheus.Counter
	logDrops prometheus.Counter
	// sent counts peer messages by kind, in number and payload bytes.
	sent      *prometheus.CounterVec
	sentBytes *prometheus.CounterVec
	// turnedAway counts clients by listener and reason.
	turnedAway *prometheus.CounterVec
}

var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

func newMetrics(h *Host) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by route, rank, result code and run state.",
		}, []string{"route", "rank", "code", "run"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time to the end of the answer of answered requests, by rank.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		lookups: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "lookups_total", Help: "Look-ups answered.",
		}),
		logDrops: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines above the rate of the settings.",
		}),
	}
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_messages_sent_total", Help: "Messages to other entry hosts, by kind.",
	}, []string{"kind"})
	m.sentBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_payload_sent_bytes_total", Help: "Payload bytes of messages to other entry hosts, by kind.",
	}, []string{"kind"})
	m.turnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "turned_away_total", Help: "Connections that were closed and requests that were rejected because of a limit on clients, by listener and reason.",
	}, []string{"listener", "reason"})
	m.registry.MustRegister(m.sent, m.sentBytes, m.turnedAway)
	m.registry.MustRegister(m.requests, m.latency, m.lookups, m.logDrops)
	m.gauges(h)
	return m
}

func (m *metrics) gauges(h *Host) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	counter := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("requests_held", "Requests held now.", func() float64 { return float64(h.requests.Load()) })
	gauge("routes_version", "Version of the routes table in force.", func() float64 { return float64(h.versions().RoutesVersion) })
	gauge("pools_version", "Version of the pools table in force.", func() float64 { return float64(h.versions().PoolsVersion) })
	gauge("tables_unconfirmed_seconds", "Time since the platform was last known to have no newer tables; -1 before the first time.",
		func() float64 {
			d := h.sync.Status(time.Now()).Unconfirmed
			if d < 0 {
				return -1
			}
			return d.Seconds()
		})
	gauge("live_hosts", "Entry hosts of the own failure domain that are not dead.", func() float64 { return float64(len(h.members.Live(time.Now()))) })
	counter("peer_bytes_in_total", "Bytes received from other entry hosts over peer links.", func() float64 { return float64(h.mesh.Counters().BytesIn) })
	counter("peer_bytes_out_total", "Bytes sent to other entry hosts over peer links.", func() float64 { return float64(h.mesh.Counters().BytesOut) })
	counter("peer_messages_dropped_total", "Peer messages that were not sent.", func() float64 { return float64(h.mesh.Counters().Dropped) })
	m.registry.MustRegister(&poolCollector{h: h})
}

// kindNames are the values of the label "kind".
var kindNames = map[peer.Kind]string{
	kindMembership: "membership", kindSummary: "summary",
	kindTableAnnounce: "table-announce", kindTablePull: "table-pull", kindTableDelta: "table-delta",
	kindSlotRequest: "slot-request", kindSlotGrant: "slot-grant", kindSlotRefuse: "slot-refuse",
	kindSlotRelease: "slot-release", kindSlotHeld: "slot-held",
	kindCreditRequest: "credit-request", kindCreditGrant: "credit-grant",
	kindLinkRequest: "link-request", kindLinkLease: "link-lease", kindKeyHandoff: "key-handoff",
	kindStatus: "status", kindDump: "dump",
}

func (m *metrics) peerMessage(msg peer.Message) {
	kind := kindNames[msg.Kind]
	m.sent.WithLabelValues(kind).Inc()
	m.sentBytes.WithLabelValues(kind).Add(float64(len(msg.Payload)))
}

func (m *metrics) request(ex *Exchange, code result.Code, run result.RunState, took time.Duration) {
	m.requests.WithLabelValues(ex.Route.Name, string(ex.Route.Rank), strconv.Itoa(int(code)), string(run)).Inc()
	if code == result.OK {
		m.latency.WithLabelValues(string(ex.Route.Rank)).Observe(took.Seconds())
	}
}

// poolCollector reports the pools that this host dispatches.
type poolCollector struct{ h *Host }

var (
	slotsDesc  = prometheus.NewDesc(namespace+"_pool_slots", "Slots of a pool that this host dispatches, by state.", []string{"pool", "state"}, nil)
	queuedDesc = prometheus.NewDesc(namespace+"_pool_queued", "Requests waiting for a slot, by rank.", []string{"pool", "rank"}, nil)
)

// Describe sends the descriptions of the collector's metrics.
func (c *poolCollector) Describe(out chan<- *prometheus.Desc) {
	out <- slotsDesc
	out <- queuedDesc
}

// Collect sends the present values.
func (c *poolCollector) Collect(out chan<- prometheus.Metric) {
	now := time.Now()
	for _, p := range c.h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if d == nil {
			continue
		}
		room := d.slots.Headroom(now)
		for state, n := range map[string]int{"usable": room.Slots, "running": room.Running, "held": room.Held, "free": room.Free, "lent": d.lender.Outstanding(now)} {
			out <- prometheus.MustNewConstMetric(slotsDesc, prometheus.GaugeValue, float64(n), p.name, state)
		}
		for i, n := range room.Queued {
			out <- prometheus.MustNewConstMetric(queuedDesc, prometheus.GaugeValue, float64(n), p.name, string(tables.Ranks[i]))
		}
	}
}
