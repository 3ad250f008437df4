package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// rewriteBound is the time within which the operator and the servers write again what the
// store has lost.
const rewriteBound = 2 * time.Second

// restoreStore lets the store come back from older copies until duration has passed:
// once, or twice within a second, after a moment of silence, of refusals, or at once. It
// returns when everything that was lost is written again. The random values are its own,
// so that those of the other faults of a seed stay as they are.
func (s *soak) restoreStore(duration time.Duration, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for until := time.Now().Add(duration); time.Now().Before(until); {
		time.Sleep(time.Duration(300+rng.IntN(2200)) * time.Millisecond)
		for range 1 + rng.IntN(3)/2 {
			s.restoreOnce(&wg, rng, someTime(rng, 6*time.Second))
			time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		}
	}
}

// someTime returns 50 ms and up to length more.
func someTime(rng *rand.Rand, length time.Duration) time.Duration {
	return 50*time.Millisecond + time.Duration(rng.IntN(int(length.Milliseconds())))*time.Millisecond
}

// restoreOnce lets the store come back once. age is the age of the copy when the store
// goes away.
func (s *soak) restoreOnce(wg *sync.WaitGroup, rng *rand.Rand, age time.Duration) {
	absence := someTime(rng, 750*time.Millisecond)
	switch rng.IntN(4) {
	case 0:
		s.store.GoAway(0)
	case 1:
		s.store.GoAway(http.StatusServiceUnavailable)
	case 2:
		s.store.GoAway(http.StatusTooManyRequests)
	default:
		absence = 0
	}
	time.Sleep(absence)
	if rng.IntN(4) == 0 {
		s.store.Compact()
	}
	s.store.Restore(absence + age)
	s.restores.Add(1)
	for _, key := range s.store.Written() {
		delay := time.Duration(rng.Int64N(int64(rewriteBound)))
		wg.Go(func() {
			time.Sleep(delay)
			s.store.WriteAgain(key[0], key[1])
		})
	}
}

// loseWrite lets the store come back without what was last written to an object, half the
// time as it was directly before, and returns when it is written again.
func (s *soak) loseWrite(kind, name string, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	age := someTime(rng, 500*time.Millisecond)
	if rng.IntN(2) == 0 {
		age = someTime(rng, 6*time.Second)
	}
	if since := s.store.WrittenSince(kind, name); !since.IsZero() {
		age += time.Since(since)
	}
	s.restoreOnce(&wg, rng, age)
}

// awaitWritten waits until the store has had for a time what was last written to an object.
func (s *soak) awaitWritten(kind, name string, length time.Duration) {
	for {
		since := s.store.WrittenSince(kind, name)
		if !since.IsZero() && time.Since(since) >= length {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// watchTables reports a violation if a process of the host uses older tables than before,
// until ctx ends.
func (s *soak) watchTables(ctx context.Context, h *host) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	process, highest := 0, 0
	for ; ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		before := h.process()
		version, ok := tablesVersion(client, h)
		if !ok || h.process() != before {
			continue
		}
		if before == process && version < highest {
			s.recorder.addViolation("%s went from version %d of the tables to %d", h.name, highest, version)
		}
		process, highest = before, version
	}
}

// process returns the process ID of the host.
func (h *host) process() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// tablesVersion returns the version of the tables that a host uses.
func tablesVersion(client *http.Client, h *host) (version int, ok bool) {
	resp, err := client.Get("http://" + h.metricsAddress + "/dump")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var dump struct {
		Version *int `json:"table_version"`
	}
	err = json.NewDecoder(resp.Body).Decode(&dump)
	if err != nil || dump.Version == nil {
		return 0, false
	}
	return *dump.Version, true
}

// restoreRNG returns the random values of a series of restores. They are not those of the
// other faults, so that these stay as they are for a seed.
func (s *soak) restoreRNG(series int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(78+series)))
}
