// Package backend is a stand-in for a backend server, for tests and the
// demonstration. It has slots, service times and cold starts, counts how often
// each piece of work ran, and can be told to misbehave.
package backend

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the headers that the stand-in reads and writes.
const (
	HeaderRequestID = "Tamarackswitch-Request-Id"
	HeaderDeadline  = "Tamarackswitch-Deadline-Ms"
	HeaderRun       = "Tamarackswitch-Run"
	HeaderKey       = "Idempotency-Key"
	// HeaderWork names a piece of work over all its attempts, with or without
	// an idempotency key.
	HeaderWork = "Tamarackswitch-Work"
	// notRun is the value of HeaderRun in a refusal.
	notRun = "not-run"
)

const (
	defaultSlots = 4
	// coldFactor is how much longer the first request after a start takes;
	// the factor falls linearly to 1 over Config.ColdStart.
	coldFactor = 4.0
	// maxPad bounds the padding that a request may ask for, in bytes.
	maxPad = 64 << 20
	// maxBody bounds the request body, in bytes.
	maxBody = 64 << 20
	// hangPoll is how often a hanging request looks whether the mode ended.
	hangPoll = 20 * time.Millisecond
)

// Config describes one server.
type Config struct {
	Name string
	// Slots is the number of requests run at a time; default 4.
	Slots int
	// Service is the mean service time of paths without an entry in Paths;
	// single times are spread evenly from half to one and a half of the mean.
	Service time.Duration
	// Paths holds mean service times by path prefix; the longest match wins.
	Paths map[string]time.Duration
	// ColdStart is the time after the start over which requests take longer.
	ColdStart time.Duration
	Seed      uint64
}

// Modes are the ways in which a server can misbehave. The zero value is a
// healthy server.
type Modes struct {
	// Drain refuses new work and reports the drain in /health.
	Drain bool `json:"drain,omitempty"`
	// Shed refuses all work as if the slots were full.
	Shed bool `json:"shed,omitempty"`
	// Hang runs the work and never answers until the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// Truncate announces the whole answer and closes the connection after
	// half of it.
	Truncate bool `json:"truncate,omitempty"`
	// FastFail answers 500 at once; the work counts as run.
	FastFail bool `json:"fast_fail,omitempty"`
	// LateMs delays every answer and ignores deadline and cancellation.
	LateMs int `json:"late_ms,omitempty"`
	// WrongID echoes the id of another request.
	WrongID bool `json:"wrong_id,omitempty"`
	// LagMs is the age of what /health and /load report.
	LagMs int `json:"lag_ms,omitempty"`
	// LieHealth makes /health report the opposite.
	LieHealth bool `json:"lie_health,omitempty"`
	// LieLoad, if set, is what /load reports as running.
	LieLoad *int `json:"lie_load,omitempty"`
}

// Counts is what a server has done.
type Counts struct {
	Name string `json:"name"`
	// Runs counts the starts of each piece of work.
	Runs map[string]int `json:"runs"`
	// Completed, Refused, Cancelled and Expired count outcomes.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Cancelled int `json:"cancelled"`
	Expired   int `json:"expired"`
	Running   int `json:"running"`
	// MaxRunning is the highest number of requests run at a time.
	MaxRunning int `json:"max_running"`
	// AfterDrain counts refusals while draining.
	AfterDrain int `json:"after_drain"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg     Config
	started time.Time
	mux     *http.ServeMux

	mu      sync.Mutex
	rng     *rand.Rand
	modes   Modes
	counts  Counts
	history []report
}

// report is the state of a server at one time, for lagging measurements.
type report struct {
	at      time.Time
	healthy bool
	running int
}

// New returns a healthy server that starts now.
func New(cfg Config) *Server {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	s := &Server{
		cfg: cfg, started: time.Now(), mux: http.NewServeMux(),
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		counts: Counts{Name: cfg.Name, Runs: map[string]int{}},
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("POST /control", s.control)
	s.mux.HandleFunc("GET /control/counts", s.countsHandler)
	s.mux.HandleFunc("/", s.work)
	s.record()
	return s
}

// ServeHTTP serves work, /health, /load and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetModes replaces the modes.
func (s *Server) SetModes(m Modes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes = m
	s.record()
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = make(map[string]int, len(s.counts.Runs))
	for k, v := range s.counts.Runs {
		c.Runs[k] = v
	}
	return c
}

func workID(r *http.Request) string {
	if work := r.Header.Get(HeaderWork); work != "" {
		return work
	}
	if key := r.Header.Get(HeaderKey); key != "" {
		return key
	}
	return r.Header.Get(HeaderRequestID)
}

// begin takes a slot and counts the run, or reports why not.
func (s *Server) begin(id string) (Modes, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.modes
	if m.Drain || m.Shed || s.counts.Running >= s.cfg.Slots {
		s.counts.Refused++
		if m.Drain {
			s.counts.AfterDrain++
		}
		return m, 0, false
	}
	s.counts.Running++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.counts.Running)
	s.counts.Runs[id]++
	s.record()
	return m, time.Duration(float64(time.Second) * (0.5 + s.rng.Float64())), true
}

// end frees the slot and counts the outcome in counter.
func (s *Server) end(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
	*counter++
	s.record()
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	// net/http notices a closed connection only once the body was read.
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	id := workID(r)
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil && ms <= 0 {
		s.refuse(w, r)
		return
	}
	m, spread, ok := s.begin(id)
	if !ok {
		s.refuse(w, r)
		return
	}
	if m.FastFail {
		s.end(&s.counts.Completed)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		http.Error(w, "fast failure", http.StatusInternalServerError)
		return
	}
	if !s.serve(r, m, s.serviceTime(r.URL.Path, spread)) {
		return
	}
	s.answer(w, r, m, id)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRun, notRun)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set("Retry-After", "1")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// serve spends the service time and reports whether there is an answer to send.
func (s *Server) serve(r *http.Request, m Modes, d time.Duration) bool {
	ctx := r.Context()
	if m.LateMs > 0 {
		time.Sleep(d + time.Duration(m.LateMs)*time.Millisecond)
		s.end(&s.counts.Completed)
		return true
	}
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if m.Hang {
		s.hang(r.Context())
		s.end(&s.counts.Cancelled)
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		s.end(&s.counts.Completed)
		return true
	case <-ctx.Done():
	}
	if r.Context().Err() != nil {
		s.end(&s.counts.Cancelled)
	} else {
		s.end(&s.counts.Expired)
	}
	panic(http.ErrAbortHandler)
}

// hang waits until the caller is gone or the mode ends.
func (s *Server) hang(ctx context.Context) {
	t := time.NewTicker(hangPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		on := s.modes.Hang
		s.mu.Unlock()
		if !on {
			return
		}
	}
}

// serviceTime returns the service time for path: the mean times spread, where
// spread is in units of seconds per second, longer during a cold start.
func (s *Server) serviceTime(path string, spread time.Duration) time.Duration {
	mean, best := s.cfg.Service, -1
	for prefix, d := range s.cfg.Paths {
		if strings.HasPrefix(path, prefix) && len(prefix) > best {
			mean, best = d, len(prefix)
		}
	}
	factor := spread.Seconds()
	if age := time.Since(s.started); age < s.cfg.ColdStart {
		factor *= 1 + (coldFactor-1)*(1-float64(age)/float64(s.cfg.ColdStart))
	}
	return time.Duration(float64(mean) * factor)
}

// Body is the JSON answer to a piece of work.
type Body struct {
	Server  string `json:"server"`
	Path    string `json:"path"`
	Work    string `json:"work"`
	Request string `json:"request"`
	// Pad has the length of the query parameter "pad" in bytes.
	Pad string `json:"pad,omitempty"`
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, m Modes, id string) {
	pad, _ := strconv.Atoi(r.URL.Query().Get("pad"))
	pad = min(max(pad, 0), maxPad)
	echo := r.Header.Get(HeaderRequestID)
	if m.WrongID {
		echo += "-other"
	}
	body, _ := json.Marshal(Body{
		Server: s.cfg.Name, Path: r.URL.Path, Work: id,
		Request: r.Header.Get(HeaderRequestID), Pad: strings.Repeat("x", pad),
	})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequestID, echo)
	if m.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
