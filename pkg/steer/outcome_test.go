package steer

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Guards against a server that gets no requests because callers stalled in their bodies, or
// because this host had no connection to it free: clients that do not behave could take all
// servers out of use.
func TestFaultsOfOthersSayNothingOfTheServer(t *testing.T) {
	for _, code := range []result.Code{result.CallerGone, result.SlowSender, result.BodyTooLarge, result.BadRequest, result.ConnsInUse} {
		require.Equal(t, placing.Abandoned, outcomeOf(nil, result.New(code, "")), code.Name())
	}
	require.Equal(t, placing.Unreachable, outcomeOf(nil, result.New(result.ConnectFailed, "")))
	for _, code := range []result.Code{result.NoAnswer, result.TruncatedAnswer, result.BadAnswer, result.DeadlineRunning} {
		require.Equal(t, placing.Failed, outcomeOf(nil, result.New(code, "")), code.Name())
	}
	require.Equal(t, placing.Failed, outcomeOf(&forward.Answer{Status: http.StatusInternalServerError}, nil))
	require.Equal(t, placing.Answered, outcomeOf(&forward.Answer{Status: http.StatusNotFound}, nil))
}
