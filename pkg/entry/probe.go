package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/health"
)

// Constants of probes.
const (
	probePeriod  = 500 * time.Millisecond
	probeTimeout = time.Second
	// maxProbes bounds the probes of one period, each of which costs a server
	// about 6 ms.
	maxProbes = 32
)

// tickProbes probes the servers without recent answers, of the pools that this
// host dispatches.
func (h *Host) tickProbes(now time.Time) {
	left := maxProbes
	for _, p := range h.poolList() {
		p.mu.Lock()
		d, row := p.dispatching, p.row
		p.mu.Unlock()
		if d == nil {
			continue
		}
		for _, server := range d.health.NextProbes(now) {
			if left == 0 {
				return
			}
			left--
			h.background(probeTimeout, func(ctx context.Context) {
				out := h.probe(ctx, server, row.ProbePath)
				d.health.Probed(time.Now(), server, health.ProbeResult{Outcome: out})
			})
		}
	}
}

func (h *Host) probe(ctx context.Context, server, path string) health.Outcome {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server+path, nil)
	if err != nil {
		return health.Outcome{Kind: health.Failed}
	}
	resp, err := h.probes.Do(req)
	if err != nil {
		return health.Outcome{Kind: health.Failed, Service: time.Since(start)}
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	out := health.Outcome{Kind: health.OK, Service: time.Since(start)}
	if resp.StatusCode != http.StatusOK {
		out.Kind = health.Failed
	}
	return out
}
