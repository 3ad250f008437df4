package spill

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	m.Run()
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestRampUnderCap guards against growth above the cap in any window of one
// second, with any sequence of rising and falling targets and pauses.
func TestRampUnderCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		check := invariant.New()
		now, r := vtime.Epoch, Ramp{}
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			target := rapid.IntRange(0, 100).Draw(t, "target")
			check.Shift(now, "a", "b", "p", float64(r.Raise(now, target, steps)), float64(steps))
		}
		if s := check.Finish(); !s.OK() {
			t.Fatal(s.Violations[0])
		}
	})
}

// TestRampReachesFull guards against a ramp that grows more slowly than its cap
// permits.
func TestRampReachesFull(t *testing.T) {
	now, r := vtime.Epoch, Ramp{}
	for r.Raise(now, 20, 4) < 20 {
		now = now.Add(50 * time.Millisecond)
	}
	assert.LessOrEqual(t, now.Sub(vtime.Epoch), 5*time.Second)
}

// TestCreditsUnderLendable guards against credits above lendable, growth above
// the shift cap and more running requests than the credits permit, with lost and
// late answers, changing local load and several borrowers.
func TestCreditsUnderLendable(t *testing.T) {
	granted, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		const slots = 40
		runs++
		l := NewLender(LenderConfig{Domain: "z", Pool: "p", Slots: slots, ShiftCap: 0.1, Epoch: 1, Rand: rng()})
		check := invariant.New()
		now, lendable := vtime.Epoch, 30
		held := map[string][]Credit{}
		running := map[string]int{}
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			from := fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "from"))
			before := l.Outstanding(now)
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				lendable = rapid.IntRange(0, slots).Draw(t, "lendable")
			case 1, 2:
				c, ok := l.Grant(now, Request{From: from, Pool: "p", Want: rapid.IntRange(0, 50).Draw(t, "want")}, lendable)
				if ok && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					held[from] = append(held[from], c)
					granted++
				}
				if after := l.Outstanding(now); after > max(lendable, before) {
					t.Fatalf("%d slots outstanding, %d lendable, %d before", after, lendable, before)
				}
			case 3, 4:
				if n := len(held[from]); n > 0 {
					c := held[from][rapid.IntRange(0, n-1).Draw(t, "credit")]
					total := running["d0"] + running["d1"] + running["d2"]
					if l.Accept(now, c, lendable) == nil {
						running[from]++
						if !now.Before(c.Expiry) || running[from] > c.Slots || total >= lendable {
							t.Fatalf("accepted under an expired or full credit: %+v", c)
						}
					}
				}
			case 5:
				if running[from] > 0 {
					running[from]--
					l.Release(now, from)
				}
			}
			for _, d := range []string{"d0", "d1", "d2"} {
				check.Shift(now, d, "z", "p", float64(l.Level(now, d)), slots*0.1)
				for _, c := range held[d] {
					if now.Before(c.Expiry) && c.Slots > l.Level(now, d) {
						t.Fatalf("credit %+v is above the level %d", c, l.Level(now, d))
					}
				}
			}
		}
		if s := check.Finish(); !s.OK() {
			t.Fatal(s.Violations[0])
		}
	})
	assert.Greater(t, granted, 10*runs, "the property holds trivially if few credits are granted")
}

// TestIdleCredit guards against a borrower whose credits grow without use, so
// that it can shift all of that traffic at once.
func TestIdleCredit(t *testing.T) {
	now := vtime.Epoch
	l := NewLender(LenderConfig{Domain: "z", Pool: "p", Slots: 40, ShiftCap: 0.1, Epoch: 1})
	for range 100 {
		now = now.Add(AskInterval)
		c, ok := l.Grant(now, Request{From: "a", Pool: "p", Want: 40}, 40)
		require.True(t, ok)
		assert.LessOrEqual(t, c.Slots, StepsPerSecond(40, 0.1))
	}
}

// TestEpoch guards against accepting credits of an earlier dispatcher, whose
// lent slots the present one does not know.
func TestEpoch(t *testing.T) {
	now := vtime.Epoch
	cfg := LenderConfig{Domain: "z", Pool: "p", Slots: 10, ShiftCap: 0.1, Epoch: 1, Rand: rng()}
	c, ok := NewLender(cfg).Grant(now, Request{From: "a", Pool: "p", Want: 1}, 5)
	require.True(t, ok)
	cfg.Epoch = 2
	next := NewLender(cfg)
	_, _ = next.Grant(now, Request{From: "a", Pool: "p", Want: 1}, 5)
	err := result.From(next.Accept(now, c, 5))
	require.NotNil(t, err)
	assert.Equal(t, result.NoHeadroom, err.Code)
	assert.Equal(t, result.NotRun, err.Run)
	assert.Positive(t, err.RetryAfter)
	assert.Len(t, next.Dump(now).Loans, 1)
}

func testBorrower(link LinkBudget, returning bool) *Borrower {
	return NewBorrower(vtime.Epoch, BorrowerConfig{Domain: "a1", Region: "a", Pool: "p", Slots: 20, ShiftCap: 0.1,
		Returning: returning, Rand: rng(), Peers: []PeerDomain{
			{"c1", "c", 35 * time.Millisecond}, {"b1", "b", 30 * time.Millisecond}, {"a2", "a", time.Millisecond},
		}}, link)
}

var urgent = Need{Rank: tables.Urgent, Service: 50 * time.Millisecond, Left: 500 * time.Millisecond}

// lend gives the borrower a credit of the given slots from each named domain.
func lend(t *testing.T, b *Borrower, now time.Time, slots int, domains ...string) {
	for range 10 {
		b.Choose(now, urgent, LocalState{})
	}
	for _, ask := range b.CreditRequests(now) {
		for _, d := range domains {
			if ask.To == d {
				require.True(t, b.StoreCredit(now, Credit{ID: 1, From: "a1", To: d, Pool: "p", Slots: slots, Seq: ask.Request.Seq}))
			}
		}
	}
}

// TestChooseOrder guards against relays while local servers can answer in time,
// against the use of far domains before near ones, and against patient work that
// uses up the credits of other regions.
func TestChooseOrder(t *testing.T) {
	now := vtime.Epoch
	b := testBorrower(nil, false)
	assert.True(t, b.Choose(now, urgent, LocalState{Slots: 20, Running: 20, Wait: 100 * time.Millisecond}).Local)
	lend(t, b, now, 2, "a2", "b1")
	patient := urgent
	patient.Rank = tables.Patient
	var order []string
	var choices []Choice
	// Of the two slots of b1, which is in another region, patient work may use one.
	for _, n := range []Need{patient, patient, patient, patient, urgent, urgent} {
		c := b.Choose(now, n, LocalState{Slots: 20, Running: 20, Wait: time.Second})
		order = append(order, c.Domain)
		choices = append(choices, c)
	}
	assert.Equal(t, []string{"a2", "a2", "b1", "", "b1", ""}, order)
	assert.Equal(t, result.NoHeadroom, choices[5].Err.Code)
	assert.Positive(t, choices[5].Err.RetryAfter)
	b.Done(now, choices[0])
	assert.Equal(t, "a2", b.Choose(now, urgent, LocalState{}).Domain)
	b.Done(now, choices[1])
	late := now.Add(CreditLifetime)
	assert.NotNil(t, b.Choose(late, urgent, LocalState{}).Err, "credits have expired")
}

// TestLinkDenied guards against relays to other regions without link budget.
func TestLinkDenied(t *testing.T) {
	now := vtime.Epoch
	b := testBorrower(func(time.Time, string, tables.Rank, float64, float64) bool { return false }, false)
	lend(t, b, now, 2, "b1")
	c := b.Choose(now, urgent, LocalState{})
	require.NotNil(t, c.Err)
	assert.Equal(t, result.LinkBudget, c.Err.Code)
}

// TestReturning guards against a domain that uses its full local level at once
// after an absence, and against callers of another domain that are all admitted
// at once.
func TestReturning(t *testing.T) {
	for name, start := range map[string]struct {
		returning bool
		home      string
	}{"own callers": {true, ""}, "callers of another domain": {false, "b1"}} {
		now := vtime.Epoch
		b := testBorrower(nil, start.returning)
		n := urgent
		n.Home = start.home
		n.Left = n.Service // no time to wait for the ramp
		running, check := 0, invariant.New()
		for running < 20 && now.Sub(vtime.Epoch) < time.Minute {
			if b.Choose(now, n, LocalState{Slots: 20, Running: running}).Local {
				running++
			}
			check.Shift(now, "b1", "a1", "p", float64(running), 20*0.1)
			check.Shift(now, "", "a1", "limit", float64(b.LocalLimit(now, 20)), 20*0.1)
			now = now.Add(10 * time.Millisecond)
		}
		assert.True(t, check.Finish().OK(), name)
		// 20 slots at 2 per second.
		assert.InDelta(t, 10, now.Sub(vtime.Epoch).Seconds(), 1, name)
	}
}

// TestMovedRanks guards against patient work of another domain's callers that
// fills their level and keeps out their urgent work.
func TestMovedRanks(t *testing.T) {
	now, b, moved := vtime.Epoch, testBorrower(nil, false), urgent
	moved.Rank = tables.Patient
	moved.Home = "b1"
	running := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if b.Choose(now, moved, LocalState{Slots: 20}).Local {
			running++
		}
	}
	level := b.HomeLevel("b1")
	assert.Equal(t, rankShare(tables.Patient, level), running)
	moved.Rank = tables.Urgent
	for range level - running {
		assert.True(t, b.Choose(now, moved, LocalState{Slots: 20}).Local)
	}
}

// TestRefused guards against sending every following request to a domain that
// has just refused one.
func TestRefused(t *testing.T) {
	now, b := vtime.Epoch, testBorrower(nil, false)
	lend(t, b, now, 2, "a2", "b1")
	b.PauseDomain(now, "a2")
	assert.Equal(t, "b1", b.Choose(now, urgent, LocalState{}).Domain)
	assert.Equal(t, "a2", b.Choose(now.Add(refusalPause), urgent, LocalState{}).Domain)
	b.DropCredit("a2")
	assert.Equal(t, "b1", b.Choose(now.Add(refusalPause), urgent, LocalState{}).Domain)
}

// TestLateCredits guards against a credit that is used for longer than the
// lender counts it, because its message was delayed or overtaken by a newer one.
func TestLateCredits(t *testing.T) {
	now, b := vtime.Epoch, testBorrower(nil, false)
	ask := func(now time.Time) Credit {
		for range 10 {
			b.Choose(now, urgent, LocalState{})
		}
		asks := b.CreditRequests(now)
		require.Equal(t, "a2", asks[0].To)
		return Credit{ID: 1, From: "a1", To: "a2", Pool: "p", Slots: 1, Seq: asks[0].Request.Seq}
	}
	first := ask(now)
	second := ask(now.Add(time.Second))
	late := now.Add(CreditLifetime + 100*time.Millisecond)
	assert.False(t, b.StoreCredit(late, first), "the credit has expired at the lender")
	require.True(t, b.StoreCredit(late, second))
	assert.False(t, b.StoreCredit(late, first), "an older credit does not replace a newer one")
	assert.Equal(t, "a2", b.Choose(late, urgent, LocalState{}).Domain)
	b.Done(late, Choice{Domain: "a2", Credit: &second})
	end := now.Add(time.Second + CreditLifetime)
	assert.NotNil(t, b.Choose(end, urgent, LocalState{}).Err, "lifetime counts from the request")
	third := ask(end)
	fourth := ask(end.Add(AskInterval))
	require.True(t, b.StoreCredit(end.Add(AskInterval), fourth))
	assert.False(t, b.StoreCredit(end.Add(AskInterval), third))
}

// TestNoTimeToRelay guards against relays whose answer would come too late.
func TestNoTimeToRelay(t *testing.T) {
	now, b, n := vtime.Epoch, testBorrower(nil, false), urgent
	lend(t, b, now, 2, "b1")
	// The round trip to b1 takes 30 ms.
	n.Left = n.Service + 29*time.Millisecond
	assert.NotNil(t, b.Choose(now, n, LocalState{}).Err)
	n.Left = n.Service + 30*time.Millisecond
	assert.Equal(t, "b1", b.Choose(now, n, LocalState{}).Domain)
}

// TestNearAskedFirst guards against asking far domains for slots that a near one
// already lends.
func TestNearAskedFirst(t *testing.T) {
	now, b := vtime.Epoch, testBorrower(nil, false)
	lend(t, b, now, 20, "a2")
	for range 5 {
		b.Choose(now.Add(AskInterval), urgent, LocalState{})
	}
	asks := b.CreditRequests(now.Add(AskInterval))
	require.Len(t, asks, 1)
	assert.Equal(t, "a2", asks[0].To)
}

// TestAskRate guards against a flood of credit requests during a flood of
// requests.
func TestAskRate(t *testing.T) {
	now := vtime.Epoch
	b := testBorrower(nil, false)
	asks := 0
	for range 2000 {
		now = now.Add(time.Millisecond)
		b.Choose(now, urgent, LocalState{})
		asks += len(b.CreditRequests(now))
	}
	// Each of the three peers is asked at most once per AskInterval.
	assert.LessOrEqual(t, asks, 3*(1+int(2*time.Second/AskInterval)))
	assert.Greater(t, asks, 20)
	assert.Len(t, b.Dump(now).Peers, 3)
}

func BenchmarkChooseLocal(b *testing.B) {
	br, now := testBorrower(nil, false), vtime.Epoch
	b.ReportAllocs()
	for b.Loop() {
		br.Choose(now, urgent, LocalState{Slots: 20})
	}
}

func BenchmarkChooseRelay(b *testing.B) {
	br, now := testBorrower(nil, false), vtime.Epoch
	for range 10 {
		br.Choose(now, urgent, LocalState{})
	}
	for _, ask := range br.CreditRequests(now) {
		br.StoreCredit(now, Credit{ID: 1, From: "a1", To: ask.To, Pool: "p", Slots: 5, Seq: ask.Request.Seq})
	}
	b.ReportAllocs()
	for b.Loop() {
		br.Done(now, br.Choose(now, urgent, LocalState{}))
	}
}

func BenchmarkGrantAcceptRelease(b *testing.B) {
	l, now := NewLender(LenderConfig{Domain: "z", Pool: "p", Slots: 40, ShiftCap: 0.1, Epoch: 1}), vtime.Epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(AskInterval)
		c, _ := l.Grant(now, Request{From: "a", Pool: "p", Want: 5}, 20)
		_ = l.Accept(now, c, 20)
		l.Release(now, "a")
	}
}

// TestRareRequestsAskForCredit guards against always refusing rare requests with
// short service times, because their demand stays below idleDemandSlots and no
// credit is requested.
func TestRareRequestsAskForCredit(t *testing.T) {
	now, b := vtime.Epoch, testBorrower(nil, false)
	rare := urgent
	rare.Service = 5 * time.Millisecond
	require.NotNil(t, b.Choose(now, rare, LocalState{}).Err)
	require.NotEmpty(t, b.CreditRequests(now))
	require.Empty(t, b.CreditRequests(now.Add(2*overflowWindow)), "nothing is asked for without requests")
}

// Guards against a shift cap that is checked on the number of running requests:
// that number may grow faster than the cap while the level that the lender
// permits is constant. Here two slots have been lent for a long time, and the
// requests of an established flow come and go under them. The cap is therefore
// checked on levels.
func TestRequestsVaryUnderAConstantLevel(t *testing.T) {
	start := time.Now()
	l := NewLender(LenderConfig{Domain: "b", Pool: "p", Slots: 10, ShiftCap: 0.1})
	check := invariant.New()
	var credit Credit
	step := func(at time.Duration, run int) {
		now := start.Add(at)
		c, ok := l.Grant(now, Request{From: "a", Pool: "p", Want: 2, Seq: uint64(at)}, 8)
		require.True(t, ok)
		credit = c
		for range run {
			require.NoError(t, l.Accept(now, credit, 8))
		}
		check.Shift(now, "a", "b", "p", float64(l.Level(now, "a")), 1)
		for range run {
			l.Release(now, "a")
		}
	}
	// The flow reaches two requests at a time under the cap.
	for at := time.Duration(0); at <= 2*time.Second; at += 200 * time.Millisecond {
		step(at, min(1, int(at/time.Second)))
	}
	for at := 2200 * time.Millisecond; at <= 4*time.Second; at += 200 * time.Millisecond {
		run := 0
		if at%(400*time.Millisecond) == 0 {
			run = credit.Slots
		}
		step(at, run)
	}
	require.Equal(t, 2, credit.Slots, "requests went from 0 to 2 within 200 ms, again and again")
	require.Empty(t, check.Finish().Violations)
}
