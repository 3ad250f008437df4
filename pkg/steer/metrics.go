package steer

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// metrics holds the Prometheus metrics of one host; docs/steer.md lists them.
type metrics struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	latency            *prometheus.HistogramVec
	waits              *prometheus.HistogramVec
	sends              *prometheus.CounterVec
	storeCalls         *prometheus.CounterVec
	logDropped         prometheus.Counter
	oversizedDatagrams prometheus.Counter
	malformedMessages  prometheus.Counter
	panics             *prometheus.CounterVec
	unsolicitedAnswers prometheus.Counter
	doubts             *prometheus.CounterVec
	refusals           *prometheus.CounterVec
	notices            *prometheus.CounterVec
	unreadable         *prometheus.GaugeVec
	turnedAway         *prometheus.CounterVec
	notTaken           *prometheus.CounterVec
}

// latencyBuckets are the upper bounds of the histograms' buckets in seconds.
var latencyBuckets = []float64{.005, .02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8, 25.6}

func newMetrics(h *Host) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarackswitch_steer_requests_total", Help: "Answered requests by route, HTTP status and result code.",
		}, []string{"route", "status", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarackswitch_steer_request_seconds", Help: "Time from the head of a request to its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarackswitch_steer_wait_seconds", Help: "Time that requests waited for a slot.", Buckets: latencyBuckets,
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarackswitch_steer_sends_total", Help: "Requests sent to backend servers by route and result code.",
		}, []string{"route", "code"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarackswitch_steer_store_calls_total", Help: "Calls to the platform's store by kind of objects and outcome.",
		}, []string{"kind", "outcome"}),
		logDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tamarackswitch_steer_log_dropped_total", Help: "Log lines that were dropped because of the rate limit.",
		}),
	}
	m.oversizedDatagrams = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_oversized_datagrams_total", Help: "Datagrams to other hosts that exceed one packet.",
	})
	m.malformedMessages = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_malformed_messages_total", Help: "Messages of other hosts that could not be decoded or had a value outside its range.",
	})
	m.panics = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_panics_total", Help: "Unexpected errors that ended the handling of one request, message or timer event, by task.",
	}, []string{"task"})
	m.unsolicitedAnswers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_unsolicited_answers_total", Help: "Answers that backend servers sent on idle connections.",
	})
	m.doubts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_doubtful_answers_total", Help: "Answers of backend servers that were not taken for the answer to their request, by reason.",
	}, []string{"reason"})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_server_refusals_total", Help: "Answers that were believed to say that a backend server did not run the request, by what they were believed for.",
	}, []string{"basis"})
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_server_notices_total", Help: "Answers in which a backend server said that it leaves, or that it wants no requests from this host for a time.",
	}, []string{"notice"})
	m.unreadable = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "tamarackswitch_steer_unreadable_entries", Help: "Entries of the store that this host reads and cannot decode, by kind.",
	}, []string{"kind"})
	m.turnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_turned_away_total", Help: "Connections that were closed and requests that were rejected because of a limit on clients, by listener and reason.",
	}, []string{"listener", "reason"})
	m.notTaken = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "tamarackswitch_steer_news_not_taken_total", Help: "News of the store that this host did not take, by kind of objects and reason.",
	}, []string{"kind", "reason"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tamarackswitch_steer_held_requests", Help: "Requests that were read and not answered.",
	}, func() float64 { return float64(h.held.Load()) })
	late := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tamarackswitch_steer_late_seconds", Help: "How late the process reads what has arrived, mean; over 0.025 the least urgent requests are rejected.",
	}, func() float64 { return h.guard.Lateness().Seconds() })
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "tamarackswitch_steer_table_version", Help: "Version of the tables in force.",
	}, func() float64 {
		if t := h.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	m.registry.MustRegister(m.requests, m.latency, m.waits, m.sends, m.storeCalls, m.logDropped, m.oversizedDatagrams, m.malformedMessages, m.panics, m.unsolicitedAnswers, m.doubts, m.refusals, m.notices, m.unreadable, m.turnedAway, m.notTaken, newCopyCollector(h), held, late, version)
	h.log.dropped = m.logDropped
	return m
}

// observe counts an answered or rejected request and its times.
func (m *metrics) observe(x *exchange, status int, code result.Code) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	m.requests.WithLabelValues(route, strconv.Itoa(status), code.Name()).Inc()
	m.latency.WithLabelValues(route).Observe(time.Since(x.started).Seconds())
	if x.waited > 0 {
		m.waits.WithLabelValues(route).Observe(x.waited.Seconds())
	}
}
