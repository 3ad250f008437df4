package shutdown

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against closing thousands of idle connections in one round, and against many
// rounds for few.
func TestClosesPerRound(t *testing.T) {
	require.Equal(t, 300, ClosesPerRound(2400))
	require.Equal(t, minClosesPerRound, ClosesPerRound(100))
}
