package placing

import (
	"math"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// serverReportTTL is how long a load that the server reported is used,
	// with a weight that falls linearly from 1 to 0.
	serverReportTTL = 400 * time.Millisecond
	// regionReportTTL is how long the report of another region is used.
	regionReportTTL = time.Second
	// failureHalfLife is the half-life of a failure ratio without new
	// answers.
	failureHalfLife = 3 * time.Second
	// smoothing is the weight of a new observation in moving averages.
	smoothing = 0.15
	// minSlowdown and maxSlowdown bound the ratio of observed to expected
	// service time of a server.
	minSlowdown, maxSlowdown = 0.7, 12.0
	// minBackoff and maxBackoff bound the time for which a server gets no
	// requests after a connection failed.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// server is a backend server as this host sees it.
type server struct {
	fleet.Server
	region string
	// removed is set once the server is no longer listed but still has
	// requests of this host.
	removed bool
	// running is the number of requests that this host sent and that have no
	// answer yet.
	running int
	// peerRequests is the number of requests in progress of the other hosts
	// of the region.
	peerRequests int
	// sentByRegion is the number of requests in progress here that each other
	// region reported to have sent, and sentByRegionAt the time of the latest
	// report of any other region.
	sentByRegion   map[string]int
	sentByRegionAt time.Time
	// regionLoad is the load that the server's region reported, at which time
	// this host had runningAtRegionLoad requests there.
	regionLoad, runningAtRegionLoad int
	regionLoadAt                    time.Time
	// reportedLoad is the load that the server reported with its last answer.
	reportedLoad  int
	reportedAt    time.Time
	reportedQueue bool // requests waited at the server when it reported
	// workFactor is how long work took at the server when it last said so, as a
	// factor of its usual time.
	workFactor       float64
	workFactorAt     time.Time
	slowdown         float64 // moving average of observed to expected service time
	failureAverage   float64 // share of failed requests as of failureUpdatedAt
	failureUpdatedAt time.Time
	// backoffUntil is when the server may be tried again after a failed
	// connection, and backoff the length of the latest backoff, 0 after a
	// successful answer.
	backoffUntil time.Time
	backoff      time.Duration
	halfOpen     bool        // one request at a time tries the server after a backoff
	coldBucket   tokenBucket // limits the rate while the server is cold
	keys         recentKeys  // sent by this host
	notices      *notices    // nil if the server said nothing of itself
}

// leaves reports whether the server takes no new requests, by its entry or by what
// it said of itself.
func (s *server) leaves() bool { return s.Draining || s.notices.saidLeaving() }

// load estimates the number of requests at the server. It is the largest of
// three values: the requests in progress that the hosts know of, the load that
// the server's region reported plus the requests that this host sent since,
// and the load that the server itself reported, weighted by its age.
func (s *server) load(now time.Time) float64 {
	requests := float64(s.running + s.peerRequests)
	if len(s.sentByRegion) > 0 && now.Sub(s.sentByRegionAt) < regionReportTTL {
		for _, n := range s.sentByRegion {
			requests += float64(n)
		}
	}
	if now.Sub(s.regionLoadAt) < regionReportTTL {
		requests = max(requests, float64(s.regionLoad+max(s.running-s.runningAtRegionLoad, 0)))
	}
	if age := now.Sub(s.reportedAt); age < serverReportTTL {
		weight := 1 - float64(age)/float64(serverReportTTL)
		requests = max(requests, float64(s.reportedLoad)*weight)
	}
	return requests
}

const (
	// workFactorHalfLife is the time in which what a server said of the duration of
	// its work loses half of its weight. Servers on shared machines are slow for
	// some hundred milliseconds at a time.
	workFactorHalfLife = 200 * time.Millisecond
	// minWorkFactor and maxWorkFactor bound what a server can say.
	minWorkFactor, maxWorkFactor = 0.25, 20.0
	// maxUsualWorkFactor is the factor up to which service times are learned.
	maxUsualWorkFactor = 1.2
)

// currentWorkFactor returns by which factor work at the server probably takes
// longer than usual now.
func (s *server) currentWorkFactor(now time.Time) float64 {
	if s.workFactor == 0 {
		return 1
	}
	return 1 + (s.workFactor-1)*math.Exp2(-float64(now.Sub(s.workFactorAt))/float64(workFactorHalfLife))
}

// failureRatio returns the recent share of failed requests.
func (s *server) failureRatio(now time.Time) float64 {
	if s.failureAverage == 0 {
		return 0
	}
	return s.failureAverage * math.Exp2(-float64(now.Sub(s.failureUpdatedAt))/float64(failureHalfLife))
}

// observeResult updates the failure ratio with an answer.
func (s *server) observeResult(now time.Time, failed bool) {
	ratio := s.failureRatio(now)
	value := 0.0
	if failed {
		value = 1
	}
	s.failureAverage, s.failureUpdatedAt = ratio+smoothing*(value-ratio), now
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.ColdUntil) }

func (s *server) weight(key string) uint64 { return rendezvous.Weight(key, s.ID) }

// tokenBucket limits a rate, with a burst of half a second's worth but at
// least one request.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// ready refills the bucket and reports whether it admits a request.
func (b *tokenBucket) ready(now time.Time, perSecond float64) bool {
	if b.refilledAt.IsZero() {
		b.tokens = 1
	} else {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond, max(perSecond/2, 1))
	}
	b.refilledAt = now
	return b.tokens >= 1
}

func (b *tokenBucket) take() { b.tokens-- }

// startBackoff keeps requests away from a server that could not be reached,
// twice as long after each failed attempt.
func (s *server) startBackoff(now time.Time) {
	if now.Before(s.backoffUntil) {
		return
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil, s.halfOpen = now.Add(s.backoff), true
}
