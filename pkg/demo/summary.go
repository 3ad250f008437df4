package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// RankSummary is the service of one rank.
type RankSummary struct {
	Rank    string  `json:"rank"`
	Offered int     `json:"offered"`
	OnTime  int     `json:"answered_on_time"`
	Late    int     `json:"answered_late"`
	Service float64 `json:"service"`
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
	NotRun  int     `json:"refused_not_run"`
	Unknown int     `json:"failed_unknown"`
	Run     int     `json:"failed_run"`
	// Codes counts refusals and failures by the name of their result code.
	Codes map[string]int `json:"codes,omitempty"`
}

// VersionSummary is what one entry host has in force.
type VersionSummary struct {
	Host   string `json:"host"`
	Routes int64  `json:"routes"`
	Pools  int64  `json:"pools"`
}

// InvariantSummary is the outcome of one invariant.
type InvariantSummary struct {
	Name   string `json:"name"`
	Checks int    `json:"checks"`
	Broken int    `json:"broken"`
}

// Summary is the result of a demonstration.
type Summary struct {
	Seconds    float64            `json:"seconds"`
	Ranks      []RankSummary      `json:"ranks"`
	Versions   []VersionSummary   `json:"versions_in_force"`
	Invariants []InvariantSummary `json:"invariants"`
	Violations []string           `json:"violations,omitempty"`
	// ControlBytes is the highest mean traffic between entry hosts of one host
	// in bytes per second.
	ControlBytes   float64 `json:"control_bytes_per_second"`
	PlatformWrites int     `json:"platform_writes_per_second"`
	PlatformReads  int     `json:"platform_reads_per_second"`
	OK             bool    `json:"ok"`
}

func (r *run) summarize(l *load, total time.Duration) *Summary {
	s := &Summary{Seconds: total.Seconds()}
	for _, rank := range tables.Ranks {
		c := l.ranks[rank]
		s.Ranks = append(s.Ranks, RankSummary{
			Rank: string(rank), Offered: c.offered, OnTime: c.onTime, Late: c.answered - c.onTime,
			Service: ratio(c.onTime, c.offered),
			P50MS:   float64(c.latency.ValueAtQuantile(50)) / 1000, P99MS: float64(c.latency.ValueAtQuantile(99)) / 1000,
			NotRun: c.refusals[result.NotRun], Unknown: c.refusals[result.Unknown], Run: c.refusals[result.Run], Codes: codeNames(c.codes),
		})
	}
	for _, n := range r.cluster.Nodes() {
		status := n.Host.Status()
		s.Versions = append(s.Versions, VersionSummary{status.Name, status.RoutesVersion, status.PoolsVersion})
	}
	checks := r.checker.Finish()
	for _, name := range invariant.Names {
		s.Invariants = append(s.Invariants, InvariantSummary{name, checks.Checks[name], checks.Broken[name]})
	}
	s.Violations, s.OK = checks.Violations, checks.OK()
	s.ControlBytes, s.PlatformWrites, s.PlatformReads = checks.ControlBytes, checks.PlatformWrites, checks.PlatformReads
	return s
}

func codeNames(codes map[result.Code]int) map[string]int {
	out := map[string]int{}
	for c, n := range codes {
		out[c.Name()] = n
	}
	return out
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Write prints the summary for people.
func (s *Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "\nService in %.0f s:\n", s.Seconds)
	fmt.Fprintf(w, "  %-8s %8s %8s %8s %9s %9s %10s %10s\n", "rank", "offered", "on time", "service", "p50", "p99", "not run", "unknown")
	for _, r := range s.Ranks {
		fmt.Fprintf(w, "  %-8s %8d %8d %7.2f%% %7.1fms %7.1fms %10d %10d\n", r.Rank, r.Offered, r.OnTime, 100*r.Service, r.P50MS, r.P99MS, r.NotRun, r.Unknown+r.Run)
	}
	for _, r := range s.Ranks {
		for _, name := range slices.Sorted(maps.Keys(r.Codes)) {
			fmt.Fprintf(w, "  %s: %d x %s\n", r.Rank, r.Codes[name], name)
		}
	}
	fmt.Fprintf(w, "\nVersions in force:\n")
	for _, v := range s.Versions {
		fmt.Fprintf(w, "  %-12s routes %d, pools %d\n", v.Host, v.Routes, v.Pools)
	}
	fmt.Fprintf(w, "\nHighest cost: %.1f KB/s between entry hosts for one host; %d writes and %d reads at the platform in one second\n",
		s.ControlBytes/1000, s.PlatformWrites, s.PlatformReads)
	fmt.Fprintf(w, "\nInvariants:\n")
	for _, i := range s.Invariants {
		verdict := "held"
		if i.Broken > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", i.Broken)
		} else if i.Checks == 0 {
			verdict = "held (no occasion)"
		}
		fmt.Fprintf(w, "  %-34s %8d checks  %s\n", i.Name, i.Checks, verdict)
	}
	for _, v := range s.Violations {
		fmt.Fprintf(w, "  violation: %s\n", v)
	}
}
