package crowd

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// gatherTime is how long a crowd stays before and after the ordinary requests amid it.
const gatherTime = 2500 * time.Millisecond

// httpListeners are the listeners that serve HTTP, with a request that each serves.
var httpListeners = map[string]string{
	"caller":  "GET /ordinary/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: c\r\n",
	"lookup":  ordinary["lookup"],
	"ready":   ordinary["ready"],
	"metrics": ordinary["metrics"],
	"control": "GET /v1/feed?tables=0&servers=0 HTTP/1.1\r\nHost: h\r\n",
}

// play lets a crowd of size clients meet a new system at a listener, and checks the
// bounds, and ordinary requests amid the crowd and after it.
func play(t *testing.T, listener string, size int, run client) {
	t.Helper()
	start(t).play(listener, httpListeners[listener], size, run)
}

// play lets a crowd of size clients meet the host at a listener; request is what they send.
func (s *system) play(listener, request string, size int, run client) {
	s.t.Helper()
	stop := s.watch()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	crowd := gather(ctx, s.listeners[listener], request, size, run)
	time.Sleep(gatherTime)
	s.requireAnswers("amid the crowd")
	time.Sleep(gatherTime)
	cancel()
	crowd.Wait()
	s.requireAnswers("after the crowd")
	stop()
	s.checkBounds()
}

// playEach plays a crowd against each of the listeners that serve HTTP.
func playEach(t *testing.T, size int, run client) {
	for _, listener := range []string{"caller", "lookup", "control", "ready", "metrics"} {
		t.Run(listener, func(t *testing.T) { play(t, listener, size, run) })
	}
}

const (
	manyConns  = 1500 // more than the process has descriptors for
	someConns  = 500
	http2Conns = 20
	// manyHTTP2Conns is more than the listener for callers takes.
	manyHTTP2Conns = 300
)

// TestSilentConns guards against connections that carry nothing and take all descriptors.
func TestSilentConns(t *testing.T) { playEach(t, manyConns, silent) }

// TestRequestsSentAhead guards against memory that fills with requests which wait in
// receive buffers because their clients read no answers.
func TestRequestsSentAhead(t *testing.T) { playEach(t, someConns, sendAhead) }

// TestTricklingHeads guards against memory that fills with heads which do not end.
func TestTricklingHeads(t *testing.T) { playEach(t, someConns, trickleHead) }

// TestStalledUploads guards against memory that fills with bodies which do not end.
func TestStalledUploads(t *testing.T) { playEach(t, someConns, stallUpload) }

// TestUploadsThatServersDoNotRead guards against uploads that fill receive buffers while a
// server does not read them.
func TestUploadsThatServersDoNotRead(t *testing.T) { play(t, "caller", someConns, fillUpload) }

// TestSlowReaders guards against callers that read long answers slowly and so hold all
// connections to the servers.
func TestSlowReaders(t *testing.T) { play(t, "caller", someConns, readSlowly) }

// TestStreamsCancelledAtOnce guards against HTTP/2 streams that are opened and reset
// faster than the host ends their requests.
func TestStreamsCancelledAtOnce(t *testing.T) { playEach(t, http2Conns, resetStreams) }

// TestStreamsWithSmallWindows guards against HTTP/2 streams whose answers nobody reads.
func TestStreamsWithSmallWindows(t *testing.T) { play(t, "caller", http2Conns, smallWindows) }

// TestManyConnsWithStreams guards against HTTP/2 streams on many connections, whose clients
// cancel them, stall in their bodies or read nothing of their answers.
func TestManyConnsWithStreams(t *testing.T) {
	for name, run := range map[string]client{"cancelled": resetStreams, "stalled": stallStreams, "small windows": smallWindows} {
		t.Run(name, func(t *testing.T) { play(t, "caller", manyHTTP2Conns, run) })
	}
}

// TestStalledStreams guards against HTTP/2 streams whose bodies do not end.
func TestStalledStreams(t *testing.T) { playEach(t, http2Conns, stallStreams) }

// TestLongHeadsOfStreams guards against HTTP/2 heads of many fields.
func TestLongHeadsOfStreams(t *testing.T) { playEach(t, http2Conns, endlessHeads) }

// TestPingsWithoutReader guards against HTTP/2 frames whose answers nobody reads.
func TestPingsWithoutReader(t *testing.T) { playEach(t, http2Conns, sendPings) }

// TestLongTexts guards against a log that clients fill with long names of their requests.
func TestLongTexts(t *testing.T) { play(t, "caller", 50, sendLongTexts) }

// TestForeignDatagrams guards against datagrams from programs that are no entry hosts:
// bytes without meaning, and beacons of hosts that do not exist.
func TestForeignDatagrams(t *testing.T) {
	s := start(t)
	stop := s.watch()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for sender := range 4 {
		go sendDatagrams(ctx, s.peer, sender)
	}
	time.Sleep(gatherTime)
	s.requireAnswers("amid the datagrams")
	time.Sleep(gatherTime)
	cancel()
	s.requireAnswers("after the datagrams")
	stop()
	s.checkBounds()
}

func sendDatagrams(ctx context.Context, address string, sender int) {
	c, err := net.Dial("udp4", address)
	if err != nil {
		return
	}
	defer c.Close()
	noise := make([]byte, 1200)
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = rand.Read(noise) // never fails
		_, _ = c.Write(noise)   // an error means that the host does not receive
		_, _ = c.Write(beaconOf(fmt.Sprintf("ghost-%d-%d", sender, n)))
		if n%50 == 0 {
			sleep(ctx, time.Millisecond)
		}
	}
}

// beaconOf is a beacon in which an unknown host of an unknown region describes itself.
func beaconOf(name string) []byte {
	host := fleet.EntryHost{
		Name: name + strings.Repeat("x", 1000), Domain: "x-1", Region: "x", Capacity: 1, StartedMS: 1,
		CallerAddress: "127.0.0.1:9", PeerAddress: "127.0.0.1:9", ControlAddress: "127.0.0.1:9",
	}
	raw, err := cbor.Marshal(map[int]any{1: host.Name, 2: host.StartedMS, 3: map[int]any{1: host, 6: 0, 7: [feed.NumKinds]int64{}}})
	if err != nil {
		panic(err)
	}
	return raw
}
