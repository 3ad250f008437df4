package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// BenchmarkPick measures one placement by a dispatcher in a pool of 1,000
// servers in three regions, two thirds of which have requests in progress.
func BenchmarkPick(b *testing.B) {
	now := time.Unix(1000, 0)
	p := New("r0")
	var list []fleet.Server
	for i := range 1000 {
		list = append(list, fleet.Server{ID: fmt.Sprintf("i-%d", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: fmt.Sprintf("r%d-a", i%3), Slots: 4, StartedMS: 1})
	}
	p.Update(now, list, 5, func(domain string) string { return domain[:2] })
	need := func(i int) Need {
		return Need{Key: fmt.Sprintf("k%d", i%20000), Route: "read", Idempotent: true, Target: 500 * time.Millisecond, TimeLeft: 3 * time.Second}
	}
	var inFlight []Choice
	for i := range 1000 {
		n := need(i * 7)
		p.RecordRequest(now, n)
		if c := p.Pick(now, n); c.Verdict == Send {
			p.Started(now, c, n)
			inFlight = append(inFlight, c)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := need(i)
		now = now.Add(time.Millisecond)
		p.RecordRequest(now, n)
		c := p.Pick(now, n)
		if c.Verdict != Send {
			continue
		}
		p.Started(now, c, n)
		inFlight = append(inFlight, c)
		p.Finished(now, inFlight[0], n, Answered, 200*time.Millisecond)
		inFlight = inFlight[1:]
	}
}
