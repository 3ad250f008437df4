package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// maxLag bounds how old a lagging measurement can be.
	maxLag = time.Minute
	// maxHistory bounds the kept reports.
	maxHistory = 100_000
	// maxControlBytes bounds the body of POST /control.
	maxControlBytes = 64 << 10
)

// record appends the present state to the history; the caller holds s.mu.
func (s *Server) record() {
	now := time.Now()
	s.history = append(s.history, report{now, !s.modes.Drain, s.counts.Running})
	drop := 0
	for drop < len(s.history)-1 && (now.Sub(s.history[drop+1].at) > maxLag || len(s.history)-drop > maxHistory) {
		drop++
	}
	s.history = s.history[drop:]
}

// reported returns the state that /health and /load show, with lag and lies.
func (s *Server) reported() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-time.Duration(s.modes.LagMs) * time.Millisecond)
	r := s.history[0]
	for _, h := range s.history {
		if h.at.After(at) {
			break
		}
		r = h
	}
	if s.modes.LieHealth {
		r.healthy = !r.healthy
	}
	if s.modes.LieLoad != nil {
		r.running = *s.modes.LieLoad
	}
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.reported().healthy {
		writeJSON(w, http.StatusOK, map[string]string{"name": s.cfg.Name, "status": "ok"})
		return
	}
	writeJSON(w, http.StatusServiceUnavailable, map[string]string{"name": s.cfg.Name, "status": "draining"})
}

// Load is the answer of GET /load.
type Load struct {
	Name    string `json:"name"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Load{s.cfg.Name, s.reported().running, s.cfg.Slots})
}

// control replaces the modes by the JSON body.
func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	var m Modes
	if err := d.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetModes(m)
	writeJSON(w, http.StatusOK, m)
}

func (s *Server) countsHandler(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
