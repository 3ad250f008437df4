// Package shutdown decides how an entry host that has been told to stop closes its
// connections. It performs no I/O.
package shutdown

const (
	// closeRounds is the number of rounds over which idle connections are closed. All
	// at once would keep a small host from reading requests for a time.
	closeRounds = 8
	// minClosesPerRound keeps the number of rounds small on a host with few
	// connections.
	minClosesPerRound = 64
)

// ClosesPerRound returns how many idle connections are closed in each round, if there
// are idle ones at the first one.
func ClosesPerRound(idle int) int { return max(minClosesPerRound, (idle+closeRounds-1)/closeRounds) }
