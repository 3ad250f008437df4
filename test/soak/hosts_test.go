package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// freeAddress returns a free loopback address that no other test is given.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

// host runs one entry host as a process, which may be replaced by a new one.
// Other hosts reach it only through the control proxy and the peer relay.
type host struct {
	name, settingsFile                          string
	callerAddress, readyAddress, metricsAddress string
	control                                     *tcpProxy
	peer                                        *udpRelay
	log                                         logTail
	// onUnexpectedExit is called if a process ends without having been sent SIGTERM
	// or SIGKILL.
	onUnexpectedExit func(name string, err error)
	// faultMu is held during a fault of the process, so that faults do not overlap.
	faultMu sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// terminationSent is set once the current process was sent SIGTERM or SIGKILL.
	terminationSent bool
	// loggedBefore is the number of bytes that earlier processes logged.
	loggedBefore int
	// history lists the starts, signals and exits of the host's processes with
	// their times.
	history []string
}

// logEvent adds an event to the history. The caller holds mu.
func (h *host) logEvent(format string, args ...any) {
	h.history = append(h.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

const settingsText = `name = %q
domain = %q
[regions]
"a-1" = "a"
"a-2" = "a"
[listen]
caller = %q
ready = %q
lookup = %q
control = %q
peer = %q
metrics = %q
[advertise]
control = %q
peer = %q
[platform]
address = %q
[limits]
cpu_share = 1.0
cores = 1.0
[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 100
retry_window = "10s"
`

// newHost starts an entry host that uses the platform store at storeAddress.
func newHost(t *testing.T, name, domain, storeAddress string, onUnexpectedExit func(string, error)) *host {
	t.Helper()
	h := &host{
		name: name, settingsFile: filepath.Join(t.TempDir(), "entry.toml"),
		callerAddress: freeAddress(t), readyAddress: freeAddress(t), metricsAddress: freeAddress(t), onUnexpectedExit: onUnexpectedExit,
	}
	control, peer := freeAddress(t), freeAddress(t)
	var err error
	h.control, err = newTCPProxy(freeAddress(t), control)
	require.NoError(t, err)
	t.Cleanup(h.control.close)
	advertised := freeAddress(t)
	h.peer, err = newUDPRelay(advertised, peer)
	require.NoError(t, err)
	t.Cleanup(h.peer.close)
	text := fmt.Sprintf(settingsText, name, domain, h.callerAddress, h.readyAddress, freeAddress(t), control, peer, h.metricsAddress, h.control.address(), advertised, storeAddress)
	require.NoError(t, os.WriteFile(h.settingsFile, []byte(text), 0o600))
	require.NoError(t, h.start())
	t.Cleanup(h.kill)
	return h
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(binary, "steer", "--settings", h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = &h.log, &h.log
	loggedBefore := h.log.written()
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), h.cmd
	h.exited, h.terminationSent, h.loggedBefore = exited, false, loggedBefore
	h.logEvent("process %d started, %d bytes logged before", cmd.Process.Pid, loggedBefore)
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		terminationSent := h.terminationSent
		h.logEvent("process %d ended: %v, %d bytes logged", cmd.Process.Pid, err, h.log.written())
		history := strings.Join(h.history, "; ")
		h.mu.Unlock()
		if !terminationSent {
			h.onUnexpectedExit(h.name, fmt.Errorf("%w (%s)", err, history))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it is running. SIGHUP is not sent to
// a process that has not logged anything yet, because a process without a handler
// for SIGHUP is ended by it, and no program has one before its first instructions.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGHUP && h.log.written() == h.loggedBefore {
		return
	}
	select {
	case <-h.exited:
	default:
		h.terminationSent = h.terminationSent || sig == syscall.SIGTERM || sig == syscall.SIGKILL
		h.logEvent("sent %v to process %d, %d bytes logged", sig, h.cmd.Process.Pid, h.log.written())
		_ = h.cmd.Process.Signal(sig) // an error means that it has just ended
	}
}

// restart sends signals with a pause after each, waits until the process has
// ended and starts a new one.
func (h *host) restart(pause time.Duration, signals ...syscall.Signal) error {
	for _, sig := range signals {
		h.signal(sig)
		time.Sleep(pause)
	}
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not end after the signals %v", h.name, signals)
	}
	return h.start()
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	<-exited
}

// readyWithTables reports whether the host is ready and uses the given version of
// the tables.
func (h *host) readyWithTables(version int) bool {
	if !standin.Ready(h.readyAddress) {
		return false
	}
	resp, err := http.Get("http://" + h.metricsAddress + "/dump")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(raw), fmt.Sprintf(`"table_version":%d,`, version))
}

// TestHangupAtTheStart guards against installing the SIGHUP handler only after
// the settings are read: a SIGHUP that arrives during that read would end the
// process. The settings file is a named pipe, so that the process is still
// reading it when the signal arrives.
func TestHangupAtTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(binary, "steer", "--settings", file)
	var log logTail
	cmd.Stdout, cmd.Stderr = &log, &log
	require.NoError(t, cmd.Start())
	// Opening the pipe for writing blocks until the process has opened it to read.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("not settings")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	err = cmd.Wait()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.True(t, exit.Exited(), "%v: %s", err, log.String())
	require.Contains(t, log.String(), "settings-invalid")
}
