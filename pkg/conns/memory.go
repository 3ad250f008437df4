package conns

import (
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
)

// shedShare is the part of the open connections that is closed at a time while too much memory
// is in use: one in so many.
const shedShare = 4

// Memory keeps the memory that clients hold within a share.
type Memory struct {
	// Shares are those of the process. UsualLimit is the soft limit on the memory of the Go
	// runtime while clients hold little.
	Shares     intake.Shares
	UsualLimit int64

	limit int64 // in force; only Check uses it
	full  atomic.Bool
}

// Full reports whether new requests are to be rejected.
func (m *Memory) Full() bool { return m.full.Load() }

// Check closes connections while clients hold too much memory, those that keep the process
// waiting first. If that does not suffice, new requests are rejected. Call it several times a
// second, from one goroutine at a time.
func (m *Memory) Check(listeners []*Listener) {
	held, live := measureHeap()
	if limit := m.Shares.CollectorLimit(m.UsualLimit, live); limit != m.limit {
		m.limit = limit
		debug.SetMemoryLimit(limit)
	}
	m.full.Store(held > m.Shares.HeapBytes)
	if held <= m.Shares.ShedBytes {
		return
	}
	for _, l := range listeners {
		l.shed(1 + l.open()/shedShare)
	}
}

// measureHeap returns what the Go runtime has from the system, and what was in use at the last
// garbage collection, in bytes.
func measureHeap() (held, live int64) {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/gc/heap/live:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()), int64(samples[2].Value.Uint64())
}
