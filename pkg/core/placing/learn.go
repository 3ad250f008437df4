package placing

import "time"

// estimate is a moving average of service times.
type estimate struct {
	mean float64 // seconds
	n    int
}

func (e *estimate) add(d time.Duration) {
	e.n++
	e.mean += max(smoothing, 1/float64(e.n)) * (d.Seconds() - e.mean)
}

// estimates returns the expected service times of the classes in seconds.
func (p *Pool) estimates(n Need) [classes]float64 {
	var out [classes]float64
	known := p.services[n.Route]
	for i := range out {
		prior := classShares[i] * n.Target.Seconds()
		out[i] = prior
		if known != nil && known[i].n > 0 {
			w := min(float64(known[i].n)/8, 1)
			out[i] = w*known[i].mean + (1-w)*prior
		}
	}
	return out
}

// expectedService is the recent mean service time of a route in seconds.
func (p *Pool) expectedService(n Need) float64 {
	if e := p.means[n.Route]; e != nil && e.n > 0 {
		return e.mean
	}
	return classShares[0] * n.Target.Seconds()
}

// learned is the learned service time of a class in seconds, 0 if there are too
// few answers.
func (p *Pool) learned(route string, c Class) float64 {
	if known := p.services[route]; known != nil && known[c].n >= learnedLeast {
		return known[c].mean
	}
	return 0
}

// learnedLeast is the number of answers from which on a service time is used to
// reject requests.
const learnedLeast = 5

// Started records that a request is sent to the server of c.
func (p *Pool) Started(now time.Time, c Choice, n Need) {
	if s := p.servers[c.Server.ID]; s != nil {
		s.running++
		if s.isCold(now) {
			s.cold.take()
		}
		if c.Class == unknown && p.adopt >= 1 {
			p.adopt--
		} else if c.Class == unknown && !p.room {
			p.explore -= c.Service.Seconds() - p.estimates(n)[0]
		}
		s.keys.add(now, n.Route+"\x00"+n.Key)
	}
}

// Finished records the end of a request after it was Started. took is the time
// from the send to the answer.
func (p *Pool) Finished(now time.Time, c Choice, n Need, o Outcome, took time.Duration) {
	s := p.servers[c.Server.ID]
	if s == nil || s.Born != c.Server.Born || s.Address != c.Server.Address {
		return // sent to an earlier process of that name
	}
	s.running = max(s.running-1, 0)
	if s.gone && s.running == 0 {
		delete(p.servers, s.ID)
		return
	}
	switch o {
	case Answered:
		p.answered(now, s, c, n, took)
	case Failed:
		s.observe(now, true)
	case Shed:
		s.reported, s.reportedAt = max(s.Slots*2, s.reported), now
		s.observe(now, s.running+s.peers < s.Slots)
	case Unreachable, Misdirected:
		s.rested(now)
	case Abandoned:
	}
}

// answered learns from a good answer. Only requests that did not wait at the
// server show its service time.
func (p *Pool) answered(now time.Time, s *server, c Choice, n Need, took time.Duration) {
	s.observe(now, false)
	s.rest, s.trial = 0, false
	if c.Remote {
		took = max(took-RemoteTime, time.Millisecond)
	}
	if s.isCold(now) || c.Load >= float64(s.Slots) || s.queued {
		return
	}
	known := p.services[n.Route]
	if known == nil {
		known = new([classes]estimate)
		p.services[n.Route] = known
	}
	if s.slow < 2 {
		known[c.Class].add(took)
		if p.means[n.Route] == nil {
			p.means[n.Route] = &estimate{}
		}
		p.means[n.Route].add(took)
	}
	// A guess of the service time tells nothing about the server.
	if c.Service > 0 && known[c.Class].n > learnedLeast {
		ratio := float64(took) / float64(c.Service)
		s.slow += smoothing * (ratio - s.slow)
		s.slow = min(max(s.slow, slowMin), slowMost)
	}
}

// Reported records the load that a server told: running and waiting requests.
// Call it before Finished.
func (p *Pool) Reported(now time.Time, id string, running, waiting int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.reported, s.reportedAt, s.queued = running+waiting, now, waiting > 0
	if s.region != p.region {
		p.remote += smoothing * (float64(s.reported)/float64(s.Slots) - p.remote)
	}
}
