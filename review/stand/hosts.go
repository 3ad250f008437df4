package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// program is the program of the deploy file; the working directory is the root of
// the repository.
const program = "target/tamarackswitch"

// settingsText has the layout of deploy/entry.toml.tmpl, with the figures of the
// site file that the claims name.
const settingsText = `name = %q
domain = %q

[regions]
"alm-a" = "almaty"
"alm-b" = "almaty"
"ast-a" = "astana"
"ast-b" = "astana"
"akt-a" = "aktobe"
"akt-b" = "aktobe"

[listen]
caller = %q
ready = %q
lookup = %q
control = %q
peer = %q
metrics = %q

[platform]
address = %q

[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 133
retry_window = "10s"

[limits]
cpu_share = 0.224
cores = 1
`

// entryHost is an entry host: one process of the program, whose standard output
// goes through a pipe to a collector, another process.
type entryHost struct {
	name, settings, ready, caller string
	// index is the position of the host, which a process that replaces it keeps.
	index          int
	cmd, collector *exec.Cmd
	ended          chan struct{}
}

// deployment is the store and the entry hosts, all on loopback addresses.
type deployment struct {
	rec    *record
	folder string
	store  *standin.Store
	listen net.Listener

	mu    sync.Mutex // guards the start and the end of processes
	hosts []*entryHost
}

func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, store: standin.NewStore(), listen: l}
	go func() { _ = http.Serve(l, d.store) }()
	go d.stopEarly()
	return d, nil
}

// startHost starts an entry host with the command of the deploy file and waits until
// it is ready.
func (d *deployment) startHost(index int, name, domain string) (*entryHost, error) {
	var a [6]string
	for i := range a {
		var err error
		if a[i], err = freeport.Address(); err != nil {
			return nil, err
		}
	}
	h := &entryHost{index: index, name: name, settings: filepath.Join(d.folder, name+".toml"), caller: a[0], ready: a[1], ended: make(chan struct{})}
	text := fmt.Sprintf(settingsText, name, domain, a[0], a[1], a[2], a[3], a[4], a[5], d.listen.Addr())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return h, d.launch(h)
}

// restart starts a host whose process has ended again, with the same settings.
func (d *deployment) restart(h *entryHost) error {
	again := &entryHost{index: h.index, name: h.name, settings: h.settings, caller: h.caller, ready: h.ready, ended: make(chan struct{})}
	return d.launch(again)
}

// launch starts the processes of a host and waits until it is ready.
func (d *deployment) launch(h *entryHost) error {
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	h.collector = exec.Command(self, "collect", filepath.Join(d.folder, h.name+".log"))
	h.collector.Stdin = r
	h.cmd = exec.Command(program, "steer", "--settings-env", "TAMARACKSWITCH_NODE_FILE")
	h.cmd.Env = append(os.Environ(), "TAMARACKSWITCH_NODE_FILE="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = w, w
	if err := d.startProcesses(h); err != nil {
		return err
	}
	_, _ = r.Close(), w.Close()
	d.rec.printf("%s starts as process %d, its log collector as %d", h.name, h.cmd.Process.Pid, h.collector.Process.Pid)
	go func() {
		err := h.cmd.Wait()
		d.rec.printf("%s has ended: %v", h.name, err)
		close(h.ended)
	}()
	for range 100 {
		if standin.Ready(h.ready) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", h.name)
}

// current returns the host at a position: the process that was started last.
func (d *deployment) current(index int) *entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last *entryHost
	for _, h := range d.hosts {
		if h.index == index {
			last = h
		}
	}
	return last
}

func (d *deployment) startProcesses(h *entryHost) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := h.collector.Start(); err != nil {
		return err
	}
	if err := h.cmd.Start(); err != nil {
		_ = h.collector.Process.Kill()
		return err
	}
	d.hosts = append(d.hosts, h)
	return nil
}

func (d *deployment) signal(h *entryHost, p *os.Process, what string, s syscall.Signal) {
	d.rec.printf("%s of %s gets %v", what, h.name, s)
	_ = p.Signal(s)
}

// timeLimit is how long a script may run.
const timeLimit = 118 * time.Second

// stopEarly ends the script and all its processes at its time limit, or if it gets a
// signal.
func (d *deployment) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	d.rec.result("the case could not run to its end")
	d.stop()
	os.Exit(2)
}

// stop ends all processes and removes their files.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		_ = h.collector.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
		_ = h.collector.Process.Kill()
		_ = h.collector.Wait()
	}
	_ = d.listen.Close()
	_ = os.RemoveAll(d.folder)
}

// collect copies standard input to a file, as a log collector does.
func collect(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = io.Copy(f, os.Stdin)
	return err
}
