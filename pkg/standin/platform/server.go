// Package platform is a stand-in for the platform's object API, for tests, the
// demonstration and development. Its faults can be controlled by methods and,
// from other processes on the same machine, over HTTP.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	api "github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
)

// PathControl is the path of the fault controls.
const PathControl = "/v1/control"

// maxControlBytes bounds a control request and a host list.
const maxControlBytes = 1 << 20

// Options configure a Server.
type Options struct {
	// Token is required from clients of the object API unless it is empty.
	Token string
	// Directory holds initial tables: <name>.toml becomes tables/<name>.
	Directory string
	// Hosts is the initial list of hosts.
	Hosts []api.Host
	// ReadsPerSecond and WritesPerSecond refuse calls above them; 0 is no limit.
	ReadsPerSecond, WritesPerSecond int
}

// Control sets faults. Absent fields stay unchanged.
type Control struct {
	Outage          *bool `json:"outage,omitempty"`
	SlowMillis      *int  `json:"slow_ms,omitempty"`
	LoseAnswers     *int  `json:"lose_answers,omitempty"`
	FreezeHosts     *bool `json:"freeze_hosts,omitempty"`
	ReadsPerSecond  *int  `json:"reads_per_second,omitempty"`
	WritesPerSecond *int  `json:"writes_per_second,omitempty"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	*memstore.Store
	token string
	slow  atomic.Int64 // nanoseconds
	reads atomic.Int64
	write atomic.Int64
	mux   *http.ServeMux
}

// New returns a stand-in. The error names the initial table file that could not
// be read or stored.
func New(o Options) (*Server, error) {
	s := &Server{Store: memstore.New(time.Now), token: o.Token, mux: http.NewServeMux()}
	if err := s.load(o.Directory); err != nil {
		return nil, err
	}
	s.SetHosts(o.Hosts)
	s.apply(Control{ReadsPerSecond: &o.ReadsPerSecond, WritesPerSecond: &o.WritesPerSecond})
	s.mux.HandleFunc("GET "+api.PathObjects+"{key...}", s.authorized(s.get))
	s.mux.HandleFunc("PUT "+api.PathObjects+"{key...}", s.authorized(s.put))
	s.mux.HandleFunc("GET "+api.PathList, s.authorized(s.list))
	s.mux.HandleFunc("GET "+api.PathWatch, s.authorized(s.watch))
	s.mux.HandleFunc("GET "+api.PathHosts, s.authorized(s.listHosts))
	s.mux.HandleFunc("POST "+api.PathHosts, loopback(s.postHosts))
	s.mux.HandleFunc("POST "+PathControl, loopback(s.postControl))
	s.mux.HandleFunc("GET "+PathControl, loopback(func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Counts()) }))
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetSlow delays every answer by d after its call was carried out.
func (s *Server) SetSlow(d time.Duration) { s.slow.Store(int64(d)) }

func (s *Server) load(directory string) error {
	if directory == "" {
		return nil
	}
	files, err := filepath.Glob(filepath.Join(directory, "*.toml"))
	if err != nil {
		return errors.Annotate(err, "initial tables")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Annotate(err, "initial tables")
		}
		key := api.TablesPrefix + strings.TrimSuffix(filepath.Base(file), ".toml")
		if _, err := s.Put(context.Background(), key, text, 0); err != nil {
			return errors.Annotatef(err, "initial table %s", file)
		}
	}
	return nil
}

// apply sets the given faults.
func (s *Server) apply(c Control) {
	if c.Outage != nil {
		s.SetOutage(*c.Outage)
	}
	if c.SlowMillis != nil {
		s.SetSlow(time.Duration(*c.SlowMillis) * time.Millisecond)
	}
	if c.LoseAnswers != nil {
		s.LoseAnswers(*c.LoseAnswers)
	}
	if c.FreezeHosts != nil {
		s.FreezeHosts(*c.FreezeHosts)
	}
	if c.ReadsPerSecond != nil {
		s.reads.Store(int64(*c.ReadsPerSecond))
	}
	if c.WritesPerSecond != nil {
		s.write.Store(int64(*c.WritesPerSecond))
	}
	s.SetLimits(int(s.reads.Load()), int(s.write.Load()))
}

func (s *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token {
			http.Error(w, "missing or wrong bearer token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// loopback refuses controls from other machines.
func loopback(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		addr, parseErr := netip.ParseAddr(host)
		if err != nil || parseErr != nil || !addr.IsLoopback() {
			http.Error(w, "controls are served on loopback only", http.StatusForbidden)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), r.PathValue("key"))
	s.finish(w, r, o, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		http.Error(w, "if_version is not a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, api.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	o, err := s.Put(r.Context(), r.PathValue("key"), value, ifVersion)
	s.finish(w, r, api.Object{Key: o.Key, Version: o.Version}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	s.finish(w, r, api.ListAnswer{Objects: objects}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || wait < 0 {
		http.Error(w, "after or wait_ms is not a number", http.StatusBadRequest)
		return
	}
	wait = min(wait, api.MaxWatch.Milliseconds())
	objects, version, err := s.WatchFor(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	s.finish(w, r, api.WatchAnswer{Objects: objects, Version: version}, err)
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts(r.Context())
	s.finish(w, r, api.HostsAnswer{Hosts: hosts}, err)
}

func (s *Server) postHosts(w http.ResponseWriter, r *http.Request) {
	var a api.HostsAnswer
	if readJSON(w, r, &a) {
		s.SetHosts(a.Hosts)
		answer(w, struct{}{})
	}
}

func (s *Server) postControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if readJSON(w, r, &c) {
		s.apply(c)
		answer(w, s.Counts())
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// finish waits for a slow answer and writes it. The connection of a lost answer
// is closed without an answer.
func (s *Server) finish(w http.ResponseWriter, r *http.Request, v any, err error) {
	if d := time.Duration(s.slow.Load()); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	if err == nil {
		answer(w, v)
		return
	}
	if errors.Is(err, memstore.ErrAnswerLost) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, api.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, api.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, api.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, api.ErrUnavailable):
		status = http.StatusServiceUnavailable
		w.Header().Set(api.NotAppliedHeader, "1")
	}
	http.Error(w, err.Error(), status)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
