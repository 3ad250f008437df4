// Package measure runs scenarios of many decision cores under virtual time and
// reports their figures beside a plain baseline. The same seed gives the same
// figures on every machine.
package measure

import (
	"fmt"
	"io"
	"strings"
)

// Figure is one measured value.
type Figure struct {
	Name string
	Unit string
	// Value is measured with the system's own decisions.
	Value float64
	// Baseline is measured with the plainest alternative in the same run; it
	// is meaningful if HasBaseline is set.
	Baseline    float64
	HasBaseline bool
	// Bound is the stated target; AtMost and AtLeast say how it binds.
	Bound           float64
	AtMost, AtLeast bool
}

// Met reports whether the figure keeps its bound.
func (f Figure) Met() bool {
	return !(f.AtMost && f.Value > f.Bound) && !(f.AtLeast && f.Value < f.Bound)
}

// Report is the outcome of one scenario.
type Report struct {
	Figures []Figure
	// Violations of invariants with the system's own decisions.
	Violations []string
	// BaselineViolations counts those of the baseline.
	BaselineViolations int
	// Log is the decision log for golden files; it may be empty.
	Log []string
}

// Scenario is one repeatable measurement.
type Scenario struct {
	Name string
	// About says in one line which failure or load is caused.
	About string
	Seed  uint64
	Run   func(seed uint64) Report
}

// Write prints the report of a scenario as a Markdown section.
func Write(w io.Writer, s Scenario, r Report) {
	fmt.Fprintf(w, "### %s\n\n%s Seed %d.\n\n", s.Name, s.About, s.Seed)
	fmt.Fprintf(w, "| figure | value | baseline | target |\n|---|---|---|---|\n")
	for _, f := range r.Figures {
		base, bound := "", ""
		if f.HasBaseline {
			base = number(f.Baseline)
		}
		switch {
		case f.AtMost:
			bound = "at most " + number(f.Bound)
		case f.AtLeast:
			bound = "at least " + number(f.Bound)
		}
		if bound != "" && !f.Met() {
			bound += " (missed)"
		}
		fmt.Fprintf(w, "| %s (%s) | %s | %s | %s |\n", f.Name, f.Unit, number(f.Value), base, bound)
	}
	fmt.Fprintf(w, "\nInvariant violations: %d (baseline %d).\n\n", len(r.Violations), r.BaselineViolations)
}

func number(v float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", v), "0"), ".")
}
