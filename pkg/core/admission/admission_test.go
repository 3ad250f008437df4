package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func newTest(slots, limit int) *Queue {
	q := New(Config{Floors: tables.DefaultFloors, Limit: limit})
	q.SetSlots(at(0), slots)
	return q
}

func item(id, rank int, group string) Item {
	return Item{ID: uint64(id), Host: "h", Rank: rank, Group: group, Deadline: at(time.Minute)}
}

// startsByRank starts n requests one after the other, each of the given service
// time, and counts them by rank. It refills the queue, so that every rank always
// has waiting requests.
func startsByRank(q *Queue, n int, service time.Duration) [ranks]int {
	var got [ranks]int
	now, id := at(0), 0
	for range n {
		for r := range ranks {
			for q.Queued()[r] < 2 {
				id++
				q.Push(now, Item{ID: uint64(id), Host: "h", Rank: r, Group: "g", Deadline: now.Add(time.Hour)})
			}
		}
		it, ok := q.Next(now, nil)
		if !ok {
			return got
		}
		got[it.Rank]++
		q.Started(now, it.Rank)
		now = now.Add(service)
		q.Finished(now, it.Rank)
	}
	return got
}

// Guards against starvation of a rank while more urgent work is always waiting.
func TestFloorsHoldUnderSaturation(t *testing.T) {
	got := startsByRank(newTest(1, 16), 2000, 100*time.Millisecond)
	for r := range ranks {
		require.GreaterOrEqual(t, float64(got[r])/2000, 0.95*tables.DefaultFloors.Of(r), "rank %s", tables.Ranks[r])
	}
	require.Greater(t, got[0], 1400, "urgent work has what the floors of the others leave")
}

// Guards against a caller group with many requests that delays other groups.
func TestFairBetweenGroups(t *testing.T) {
	q := newTest(1, 64)
	for i := range 20 {
		require.Nil(t, q.Push(at(0), item(i, 0, "loud")))
	}
	require.Nil(t, q.Push(at(0), item(100, 0, "quiet")))
	require.Nil(t, q.Push(at(0), item(101, 0, "quiet")))
	var order []string
	for range 4 {
		it, ok := q.Next(at(0), nil)
		require.True(t, ok)
		order = append(order, it.Group)
	}
	require.Equal(t, []string{"loud", "quiet", "loud", "quiet"}, order)
}

// Guards against a group that gains an advantage when its queue runs empty: its
// virtual finish time must be kept while others are served.
func TestGroupKeepsItsDebt(t *testing.T) {
	q := newTest(1, 64)
	q.Push(at(0), item(1, 0, "a"))
	q.Push(at(0), item(2, 0, "b"))
	q.Next(at(0), nil) // a
	q.Push(at(0), item(3, 0, "a"))
	it, _ := q.Next(at(0), nil)
	require.Equal(t, "b", it.Group)
}

// Guards against one group that fills the queue of its rank.
func TestGroupLimitLeavesRoom(t *testing.T) {
	q := newTest(4, 16)
	accepted := 0
	var err *result.Error
	for i := 0; err == nil; i++ {
		if err = q.Push(at(0), item(i, 0, "loud")); err == nil {
			accepted++
		}
	}
	require.Equal(t, 8, accepted)
	require.Equal(t, result.CallerGroupLimit, err.Code)
	require.Equal(t, result.NotRun, err.Run)
	require.Positive(t, err.RetryAfter)
	require.Nil(t, q.Push(at(0), item(100, 0, "quiet")))
}

// Guards against a queue that grows beyond its limit.
func TestQueueFull(t *testing.T) {
	q := newTest(4, 4)
	for i := range 4 {
		require.Nil(t, q.Push(at(0), item(i, 0, fmt.Sprint(i))))
	}
	err := q.Push(at(0), item(9, 0, "new"))
	require.Equal(t, result.QueueFull, err.Code)
	require.Positive(t, err.RetryAfter)
	require.Nil(t, q.Push(at(0), item(10, 1, "new")), "other ranks have their own bound")
}

// Guards against queueing requests that cannot be answered by their deadline,
// and against refusing them while a slot is free.
func TestRefusesAtOnceWhenWaitIsTooLong(t *testing.T) {
	q := newTest(1, 64)
	short := item(1, 0, "g")
	short.Deadline = at(10 * time.Millisecond)
	require.Nil(t, q.Push(at(0), short), "a free slot means no wait")
	q.Next(at(0), nil)
	q.Started(at(0), 0)
	for i := range 9 {
		require.Nil(t, q.Push(at(0), item(10+i, 0, "g")))
	}
	// Ten waits of 50 ms (InitialService) and the service time of 50 ms: 550 ms.
	late := item(30, 0, "g")
	late.Deadline = at(540 * time.Millisecond)
	err := q.Push(at(0), late)
	require.Equal(t, result.DeadlineTooShort, err.Code)
	require.Equal(t, result.NotRun, err.Run)
	require.Positive(t, err.RetryAfter)
	late.Deadline = at(560 * time.Millisecond)
	require.Nil(t, q.Push(at(0), late))
	other := item(31, 0, "quiet")
	other.Deadline = at(200 * time.Millisecond)
	require.Nil(t, q.Push(at(0), other), "fair queueing lets a quiet group pass")
}

// Guards against requests that stay queued after their deadline or after they
// were cancelled.
func TestExpireAndCancel(t *testing.T) {
	q := newTest(1, 64)
	for i := range 3 {
		it := item(i, 2, "g")
		it.Deadline = at(time.Duration(i+1) * time.Second)
		require.Nil(t, q.Push(at(0), it))
	}
	require.Empty(t, q.Expire(at(999*time.Millisecond)))
	require.Len(t, q.Expire(at(time.Second)), 1)
	require.True(t, q.Cancel("h", 1))
	require.False(t, q.Cancel("h", 1))
	require.Len(t, q.Expire(at(3*time.Second)), 1)
	require.Zero(t, q.Queued()[2])
}

// startPatient queues 20 patient requests, starts them until the queue allows no
// more, at most 10, and returns how many it started.
func startPatient(q *Queue, now time.Time) int {
	n := 0
	for i := range 20 {
		q.Push(now, Item{ID: uint64(1000 + i), Host: "h", Rank: 2, Group: "g", Deadline: now.Add(time.Hour)})
	}
	for {
		it, ok := q.Next(now, nil)
		if !ok || n == 10 {
			return n
		}
		q.Started(now, it.Rank)
		n++
	}
}

// Guards against patient requests that occupy every slot when urgent work
// arrives, and against slots left idle when no urgent work is expected.
func TestReserveForUrgentWork(t *testing.T) {
	require.Equal(t, 10, startPatient(newTest(10, 64), at(0)), "urgent work was never active")

	q := newTest(10, 64)
	q.Push(at(0), item(1, 0, "g"))
	q.Next(at(0), nil)
	require.Equal(t, 9, startPatient(q, at(0)), "short work leaves one slot")
	require.Equal(t, 10, startPatient(recentUrgent(0, 0), at(ActiveWindow+time.Second)), "urgent work is no longer active")

	long := recentUrgent(4, 2*time.Second)
	require.Equal(t, 6, startPatient(long, at(0)), "long work leaves the recent demand")
}

// recentUrgent returns a queue of 10 slots in which the given number of urgent
// requests have been running for a minute, and in which patient requests have
// the given typical service time.
func recentUrgent(running int, patient time.Duration) *Queue {
	q := newTest(10, 64)
	start := at(-time.Minute)
	q.lastAdvance = start
	for i := range running {
		q.Push(start, item(i, 0, "g"))
		q.Next(start, nil)
		q.Started(start, 0)
	}
	for range 200 {
		q.Observe(2, patient)
	}
	q.Push(at(0), item(100, 0, "g"))
	q.Cancel("h", 100)
	return q
}

// Guards against requests that are lost or returned twice, and against wrong
// counts, for any order of operations.
func TestEveryRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTest(2, 8)
		waiting, now, lastID := map[uint64]bool{}, at(0), uint64(0)
		leave := func(id uint64) {
			require.True(t, waiting[id], "request %d left without waiting", id)
			delete(waiting, id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				lastID++
				it := Item{ID: lastID, Host: "h", Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Group:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond)}
				if q.Push(now, it) == nil {
					waiting[lastID] = true
				}
			case 2:
				if it, ok := q.Next(now, nil); ok {
					leave(it.ID)
				}
			case 3:
				id := uint64(rapid.IntRange(1, 60).Draw(t, "id"))
				require.Equal(t, waiting[id], q.Cancel("h", id))
				delete(waiting, id)
			case 4:
				for _, it := range q.Expire(now) {
					leave(it.ID)
				}
			}
			sum := 0
			for _, n := range q.Queued() {
				require.LessOrEqual(t, n, 8)
				sum += n
			}
			require.Equal(t, len(waiting), sum)
		}
		require.Len(t, q.Drain(), len(waiting))
	})
}

// Guards against allocations for the entries of a queue in steady use. The bound
// of four per run, that is, for two requests, leaves room for their two groups:
// an idle rank forgets its groups, so each run allocates them anew.
func TestSteadyUseDoesNotAllocate(t *testing.T) {
	q := newTest(4, 64)
	id := 0
	n := testing.AllocsPerRun(1000, func() {
		id++
		q.Push(at(0), item(id, 0, "g"))
		q.Push(at(0), item(-id, 0, "g2"))
		q.Next(at(0), nil)
		q.Next(at(0), nil)
	})
	require.LessOrEqual(t, n, 4.0)
}
