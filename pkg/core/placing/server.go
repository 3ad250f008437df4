package placing

import (
	"math"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Limits of what is believed about one server.
const (
	// reportLife is how long a load that the server reported counts.
	reportLife = 400 * time.Millisecond
	// toldLife is how long the report of another region counts.
	toldLife = time.Second
	// failureHalf is the time in which a failure ratio decays by half without
	// new answers.
	failureHalf = 3 * time.Second
	// smoothing is the weight of a new observation in moving averages.
	smoothing = 0.15
	// slowMin and slowMost bound the factor between observed and expected
	// service time of one server.
	slowMin, slowMost = 0.7, 12.0
	// restFirst and restMost bound the time for which a server gets no requests
	// after a connection failed.
	restFirst = 250 * time.Millisecond
	restMost  = 4 * time.Second
)

// server is a backend server as this host sees it.
type server struct {
	fleet.Server
	region string
	gone   bool
	// running are the requests that this host sent and that have no answer.
	running int
	// peers are the requests in progress of the other hosts of the region.
	peers int
	// others are the requests that other regions told they sent here.
	others   map[string]int
	othersAt time.Time
	// told is the load that the server's region told, while this region had
	// toldRunning requests there.
	told, toldRunning int
	toldAt            time.Time
	// reported is the load that the server told with its last answer.
	reported   int
	reportedAt time.Time
	queued     bool // requests waited at the server when it reported
	slow       float64
	failing    float64
	failedAt   time.Time // when failing was last updated
	// restUntil is when the server may be tried again after failed connections.
	restUntil time.Time
	rest      time.Duration
	trial     bool // one request tries the server after its rest
	cold      bucket
	keys      recent
}

// load returns the estimate of the requests at the server.
func (s *server) load(now time.Time) float64 {
	known := float64(s.running + s.peers)
	if len(s.others) > 0 && now.Sub(s.othersAt) < toldLife {
		for _, n := range s.others {
			known += float64(n)
		}
	}
	if now.Sub(s.toldAt) < toldLife {
		known = max(known, float64(s.told+max(s.running-s.toldRunning, 0)))
	}
	if age := now.Sub(s.reportedAt); age < reportLife {
		left := 1 - float64(age)/float64(reportLife)
		known = max(known, float64(s.reported)*left)
	}
	return known
}

// failureRatio is the recent fraction of failed requests.
func (s *server) failureRatio(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-float64(now.Sub(s.failedAt))/float64(failureHalf))
}

func (s *server) observe(now time.Time, failed bool) {
	ratio := s.failureRatio(now)
	value := 0.0
	if failed {
		value = 1
	}
	s.failing, s.failedAt = ratio+smoothing*(value-ratio), now
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.ColdUntil) }

func (s *server) weight(key string) uint64 { return rendezvous.Weight(key, s.ID) }

// bucket admits a bounded rate with a burst of half a second's worth.
type bucket struct {
	tokens float64
	filled time.Time
}

// ready refills the bucket and reports whether it admits a request.
func (b *bucket) ready(now time.Time, perSecond float64) bool {
	if b.filled.IsZero() {
		b.tokens = 1
	} else {
		b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*perSecond, max(perSecond/2, 1))
	}
	b.filled = now
	return b.tokens >= 1
}

func (b *bucket) take() { b.tokens-- }

// rested keeps requests away from a server that could not be reached, for
// longer after each attempt.
func (s *server) rested(now time.Time) {
	if now.Before(s.restUntil) {
		return
	}
	s.rest = min(max(2*s.rest, restFirst), restMost)
	s.restUntil, s.trial = now.Add(s.rest), true
}
