package forward

import "sort"

// ServerDump is the state of the connections to one server.
type ServerDump struct {
	Server string `json:"server"`
	Open   int    `json:"open"`
	Idle   int    `json:"idle"`
	// IdleMs holds the time since its last answer for each idle connection, in
	// milliseconds.
	IdleMs []int64 `json:"idle_ms,omitempty"`
}

// Dump returns the state of all connections, ordered by server.
func (f *Forwarder) Dump() []ServerDump {
	out := []ServerDump{}
	for _, p := range f.allPools() {
		p.mu.Lock()
		d := ServerDump{Server: p.addr, Open: p.open, Idle: len(p.idle)}
		for _, c := range p.idle {
			d.IdleMs = append(d.IdleMs, age(f.now(), c.lastAnswer).Milliseconds())
		}
		p.mu.Unlock()
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}
