package admission

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Dump is the state of a Queue. Times are in milliseconds.
type Dump struct {
	Slots int        `json:"slots"`
	Limit int        `json:"limit"`
	Ranks []RankDump `json:"ranks"`
}

// RankDump is the state of one rank.
type RankDump struct {
	Rank       tables.Rank `json:"rank"`
	Queued     int         `json:"queued"`
	Groups     int         `json:"groups"`
	Running    int         `json:"running"`
	Share      float64     `json:"share_slots"`
	Demand     float64     `json:"demand_slots"`
	Reserve    int         `json:"reserve_slots"`
	UnderFloor bool        `json:"under_floor"`
	ServiceMS  float64     `json:"service_ms"`
}

// Dump returns the state of the queue.
func (q *Queue) Dump() Dump {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := Dump{Slots: q.slots, Limit: q.cfg.Limit}
	for i := range q.ranks {
		r := &q.ranks[i]
		d.Ranks = append(d.Ranks, RankDump{
			Rank: tables.Ranks[i], Queued: r.len, Groups: len(r.groups), Running: r.use.running,
			Share: r.use.share, Demand: r.use.demand, Reserve: q.reserve(i), UnderFloor: q.underFloor(i),
			ServiceMS: float64(r.use.service) / float64(time.Millisecond),
		})
	}
	return d
}
