package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fill offers requests for region a until its servers accept no more, and
// returns those that were placed.
func fill(d *Dispatcher, now time.Time) (placed []Ref) {
	for i := uint64(1); ; i++ {
		n := need(fmt.Sprint(i % 7))
		n.Regions = []string{"a"}
		p, queued := d.Offer(now, Ref{"h", i}, n, now.Add(time.Second))
		if queued || p.Choice.Verdict != Send {
			d.End(now, Ref{"h", i}, Completion{})
			return placed
		}
		placed = append(placed, Ref{"h", i})
	}
}

// Guards against slots that stay taken because the end of a request was never
// reported or its host failed.
func TestSlotsComeFree(t *testing.T) {
	for name, free := range map[string]func(d *Dispatcher, placed []Ref) time.Time{
		"ended": func(d *Dispatcher, placed []Ref) time.Time {
			for _, r := range placed {
				d.End(start, r, Completion{Outcome: Answered, Took: 50 * time.Millisecond})
			}
			return start
		},
		"expired": func(d *Dispatcher, _ []Ref) time.Time {
			now := start.Add(time.Second + expiryGrace + 1)
			d.Expire(now)
			return now
		},
		"host gone": func(d *Dispatcher, _ []Ref) time.Time { d.Forget(start, "h"); return start },
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newPool(2)
			d := NewDispatcher(p)
			placed := fill(d, start)
			require.GreaterOrEqual(t, len(placed), 8)
			now := free(d, placed)
			require.Len(t, fill(d, now), len(placed))
		})
	}
}

// Guards against giving a free slot to the less urgent of two waiting
// requests, or to the later one of two equally urgent ones.
func TestLineOrder(t *testing.T) {
	p, _ := newPool(1)
	d := NewDispatcher(p)
	placed := fill(d, start)
	wait := func(id uint64, priority int) {
		n := need(fmt.Sprint(id))
		n.Priority, n.Regions = priority, []string{"a"}
		_, queued := d.Offer(start.Add(time.Duration(id)), Ref{"w", id}, n, start.Add(time.Second))
		require.True(t, queued)
	}
	wait(1, 2)
	wait(2, 1)
	wait(3, 1)
	var got []uint64
	for _, ref := range placed {
		for _, p := range d.End(start.Add(10*time.Millisecond), ref, Completion{Outcome: Answered, Took: 10 * time.Millisecond}) {
			require.Equal(t, Send, p.Choice.Verdict)
			got = append(got, p.Ref.ID)
		}
	}
	require.Equal(t, []uint64{2, 3, 1}, got)
}

// Guards against requests that wait for a slot without a time limit.
func TestWaitEnds(t *testing.T) {
	p, _ := newPool(2)
	d := NewDispatcher(p)
	fill(d, start)
	n := need("w")
	n.Regions = []string{"a"}
	_, queued := d.Offer(start, Ref{"w", 1}, n, start.Add(time.Second))
	require.True(t, queued)
	require.Empty(t, d.Wake(start.Add(time.Duration(MaxWaitShare*float64(n.Target))-1)))
	list := d.Wake(start.Add(time.Duration(MaxWaitShare * float64(n.Target))))
	require.Len(t, list, 1)
	require.Equal(t, Wait, list[0].Choice.Verdict)
	require.Equal(t, Ref{"w", 1}, list[0].Ref)
	_, waiting := d.Counts()
	require.Zero(t, waiting)
}

// Guards against placing a request twice when its host asks for it again.
func TestFind(t *testing.T) {
	p, _ := newPool(1)
	d := NewDispatcher(p)
	first, _ := d.Offer(start, Ref{"h", 1}, need("k"), start.Add(time.Second))
	again, placed, waiting := d.Find(Ref{"h", 1})
	require.True(t, placed)
	require.False(t, waiting)
	require.Equal(t, first, again)
	_, placed, waiting = d.Find(Ref{"h", 2})
	require.False(t, placed || waiting)
}
