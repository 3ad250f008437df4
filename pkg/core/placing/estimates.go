package placing

import "time"

// estimate is a moving average of service times.
type estimate struct {
	mean float64 // seconds
	n    int     // number of samples
}

func (e *estimate) add(d time.Duration) {
	e.n++
	e.mean += max(smoothing, 1/float64(e.n)) * (d.Seconds() - e.mean)
}

// estimates returns the expected service times of the classes in seconds.
// Until a class has 8 samples, its mean is blended with a prior that follows
// from the target latency.
func (p *Pool) estimates(n Need) [numClasses]float64 {
	var out [numClasses]float64
	byClass := p.classEstimates[n.Route]
	for i := range out {
		prior := priorShares[i] * n.Target.Seconds()
		out[i] = prior
		if byClass != nil && byClass[i].n > 0 {
			confidence := min(float64(byClass[i].n)/8, 1)
			out[i] = confidence*byClass[i].mean + (1-confidence)*prior
		}
	}
	return out
}

// expectedService returns the recent mean service time of a route in seconds,
// or a prior that follows from the target latency if there are no answers
// yet.
func (p *Pool) expectedService(n Need) float64 {
	if e := p.routeEstimates[n.Route]; e != nil && e.n > 0 {
		return e.mean
	}
	return priorShares[0] * n.Target.Seconds()
}

// learned returns the learned service time of a class in seconds, or 0 if
// there are too few answers.
func (p *Pool) learned(route string, c ReuseClass) float64 {
	if byClass := p.classEstimates[route]; byClass != nil && byClass[c].n >= minLearnedSamples {
		return byClass[c].mean
	}
	return 0
}

// minLearnedSamples is the number of answers from which on a learned service
// time is used to reject requests. The speed of servers is rated only after
// more answers than that.
const minLearnedSamples = 5

// Started records that a request was sent to the server of c. If the server
// does not have the object cached, the request uses up a token (see adoptShare)
// or, while the pool has no spare capacity, exploration budget.
func (p *Pool) Started(now time.Time, c Choice, n Need) {
	if s := p.servers[c.Server.ID]; s != nil {
		s.running++
		if s.isCold(now) {
			s.coldBucket.take()
		}
		if c.Class == notCached && p.adoptTokens >= 1 {
			p.adoptTokens--
		} else if c.Class == notCached && !p.spareCapacity {
			p.exploreBudget -= c.Service.Seconds() - p.estimates(n)[0]
		}
		s.keys.add(now, n.Route+"\x00"+n.Key)
	}
}

// Finished records the end of a request after it was Started. took is the
// time from sending the request to the answer.
func (p *Pool) Finished(now time.Time, c Choice, n Need, o Outcome, took time.Duration) {
	s := p.servers[c.Server.ID]
	if s == nil || s.StartedMS != c.Server.StartedMS || s.Address != c.Server.Address {
		return // sent to an earlier process with this ID
	}
	s.running = max(s.running-1, 0)
	if s.removed && s.running == 0 {
		delete(p.servers, s.ID)
		return
	}
	switch o {
	case Answered:
		p.answered(now, s, c, n, took)
	case Failed:
		s.observeResult(now, true)
	case Shed:
		// The server is full. The refusal counts as a failure only if the
		// hosts of this region have fewer requests there than it has slots,
		// so that their load does not explain it.
		s.reportedLoad, s.reportedAt = max(s.Slots*2, s.reportedLoad), now
		s.observeResult(now, s.running+s.peerRequests < s.Slots)
	case Unreachable, Misdirected:
		s.startBackoff(now)
	case Abandoned:
	}
}

// answered updates the estimates with a successful answer. Only requests that
// did not wait at the server show its service time.
func (p *Pool) answered(now time.Time, s *server, c Choice, n Need, took time.Duration) {
	s.observeResult(now, false)
	s.backoff, s.halfOpen = 0, false
	if c.Remote {
		took = max(took-RemoteTime, time.Millisecond)
	}
	if s.isCold(now) || c.Load >= float64(s.Slots) || s.reportedQueue {
		return
	}
	// An episode in which work takes longer says nothing about the usual speed.
	if s.currentWorkFactor(now) > maxUsualWorkFactor {
		return
	}
	byClass := p.classEstimates[n.Route]
	if byClass == nil {
		byClass = new([numClasses]estimate)
		p.classEstimates[n.Route] = byClass
	}
	// The estimates are for servers of average speed; slow ones would distort
	// them.
	if s.slowdown < 2 {
		byClass[c.Class].add(took)
		if p.routeEstimates[n.Route] == nil {
			p.routeEstimates[n.Route] = &estimate{}
		}
		p.routeEstimates[n.Route].add(took)
	}
	// An expected service time that was not learned says nothing about the
	// server's speed.
	if c.Service > 0 && byClass[c.Class].n > minLearnedSamples {
		ratio := float64(took) / float64(c.Service)
		s.slowdown += smoothing * (ratio - s.slowdown)
		s.slowdown = min(max(s.slowdown, minSlowdown), maxSlowdown)
	}
}

// Reported records the load that a server reported: running and waiting
// requests. Call it before Finished.
func (p *Pool) Reported(now time.Time, id string, running, waiting int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.reportedLoad, s.reportedAt, s.reportedQueue = running+waiting, now, waiting > 0
	if s.region != p.region {
		p.remoteLoadRatio += smoothing * (float64(s.reportedLoad)/float64(s.Slots) - p.remoteLoadRatio)
	}
}

// reportedWork records how long work takes at a server, in percent of its usual
// time.
func (p *Pool) reportedWork(now time.Time, id string, percent int) {
	if s := p.servers[id]; s != nil {
		s.workFactor, s.workFactorAt = min(max(float64(percent)/100, minWorkFactor), maxWorkFactor), now
	}
}
