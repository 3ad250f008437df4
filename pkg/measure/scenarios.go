package measure

// All returns every scenario in the order of docs/measurements.md.
func All() []Scenario {
	var out []Scenario
	for _, group := range [][]Scenario{
		dispatchScenarios(),
		domainScenarios,
		OnceScenarios(),
		MembershipScenarios(),
		tableScenarios(),
		sessionScenarios(),
	} {
		out = append(out, group...)
	}
	return out
}
