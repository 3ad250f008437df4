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

// freeAddress returns a loopback address that no other test gets.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

// host is one entry host process. Other hosts reach it through control and peer.
type host struct {
	name, file             string
	caller, ready, metrics string
	control                *proxy
	peer                   *relay
	log                    tail
	// ended is called if the process ends without a signal that ends it.
	ended func(name string, err error)
	// series is held while a fault of the process lasts.
	series sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// told is set once the running process got a signal that ends it.
	told bool
	// before is the number of bytes that earlier processes logged.
	before int
	// history has the starts and signals of the host's processes with their times.
	history []string
}

// note adds to the history. The caller holds the lock.
func (h *host) note(format string, args ...any) {
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

// newHost starts an entry host.
func newHost(t *testing.T, name, domain, store string, ended func(string, error)) *host {
	t.Helper()
	h := &host{
		name: name, file: filepath.Join(t.TempDir(), "entry.toml"),
		caller: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t), ended: ended,
	}
	control, peer := freeAddress(t), freeAddress(t)
	var err error
	h.control, err = newProxy(freeAddress(t), control)
	require.NoError(t, err)
	t.Cleanup(h.control.close)
	advertised := freeAddress(t)
	h.peer, err = newRelay(advertised, peer)
	require.NoError(t, err)
	t.Cleanup(h.peer.close)
	text := fmt.Sprintf(settingsText, name, domain, h.caller, h.ready, freeAddress(t), control, peer, h.metrics, h.control.address(), advertised, store)
	require.NoError(t, os.WriteFile(h.file, []byte(text), 0o600))
	require.NoError(t, h.start())
	t.Cleanup(h.end)
	return h
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(binary, "steer", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = &h.log, &h.log
	before := h.log.written()
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), h.cmd
	h.done, h.told, h.before = done, false, before
	h.note("start of %d, %d bytes logged before", cmd.Process.Pid, before)
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		told := h.told
		h.note("end of %d: %v, %d bytes logged", cmd.Process.Pid, err, h.log.written())
		history := strings.Join(h.history, "; ")
		h.mu.Unlock()
		if !told {
			h.ended(h.name, fmt.Errorf("%w (%s)", err, history))
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the running process. A process that has not written
// a line yet gets no hangup: any program ends on one before its first
// instructions.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sig == syscall.SIGHUP && h.log.written() == h.before {
		return
	}
	select {
	case <-h.done:
	default:
		h.told = h.told || sig == syscall.SIGTERM || sig == syscall.SIGKILL
		h.note("%v to %d, %d bytes logged", sig, h.cmd.Process.Pid, h.log.written())
		_ = h.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// replace sends signals, waits for the end of the process and starts it again.
func (h *host) replace(pause time.Duration, signals ...syscall.Signal) error {
	for _, sig := range signals {
		h.signal(sig)
		time.Sleep(pause)
	}
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(patience):
		return fmt.Errorf("%s does not end after %v", h.name, signals)
	}
	return h.start()
}

func (h *host) end() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

// inForce reports whether the host is ready with a version of the tables.
func (h *host) inForce(version int) bool {
	if !standin.Ready(h.ready) {
		return false
	}
	resp, err := http.Get("http://" + h.metrics + "/dump")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(raw), fmt.Sprintf(`"table_version":%d,`, version))
}

// TestHangupAtTheStart guards against a process that ends because it is told of
// new settings while it still reads the first ones.
func TestHangupAtTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	cmd := exec.Command(binary, "steer", "--settings", file)
	var log tail
	cmd.Stdout, cmd.Stderr = &log, &log
	require.NoError(t, cmd.Start())
	// Opening the pipe returns once the process reads it.
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
