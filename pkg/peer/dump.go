package peer

import (
	"sort"
	"time"
)

// Counters holds traffic counts. Bytes include the WebSocket framing.
type Counters struct {
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	// Dropped is the number of messages that were dropped instead of sent.
	Dropped int64 `json:"dropped"`
}

func (c *Counters) add(o Counters) {
	c.MessagesIn += o.MessagesIn
	c.MessagesOut += o.MessagesOut
	c.BytesIn += o.BytesIn
	c.BytesOut += o.BytesOut
	c.Dropped += o.Dropped
}

func (l *link) counters() Counters {
	return Counters{
		MessagesIn: l.messagesIn.Load(), MessagesOut: l.messagesOut.Load(),
		BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(),
	}
}

// HostDump is the state of one other entry host.
type HostDump struct {
	Name        string `json:"name"`
	Address     string `json:"address,omitempty"`
	Linked      bool   `json:"linked"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Dialed      bool   `json:"dialed,omitempty"`
	Version     uint16 `json:"version,omitempty"`
	// AgeMs and QuietMs are the milliseconds since the link was opened and since
	// its last received message.
	AgeMs     int64    `json:"age_ms,omitempty"`
	QuietMs   int64    `json:"quiet_ms,omitempty"`
	Queued    int      `json:"queued"`
	Dialing   bool     `json:"dialing,omitempty"`
	Failures  int      `json:"failures,omitempty"`
	LastError string   `json:"last_error,omitempty"`
	Counters  Counters `json:"counters"`
}

// Dump is the state of a Mesh.
type Dump struct {
	Name  string     `json:"name"`
	Hosts []HostDump `json:"hosts"`
	Links int        `json:"links"`
	Calls int        `json:"calls"`
	// Totals include the counts of links that have ended.
	Totals Counters `json:"totals"`
}

// Dump returns the state of the mesh, with the hosts sorted by name.
func (m *Mesh) Dump() Dump {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Dump{Name: m.cfg.Self.Name, Links: len(m.links), Calls: len(m.calls), Totals: m.totals}
	for l := range m.links {
		d.Totals.add(l.counters())
	}
	for _, h := range m.hosts {
		d.Hosts = append(d.Hosts, h.dump())
	}
	sort.Slice(d.Hosts, func(i, j int) bool { return d.Hosts[i].Name < d.Hosts[j].Name })
	return d
}

// Counters returns the total traffic of all links since the mesh was created.
func (m *Mesh) Counters() Counters { return m.Dump().Totals }

func (h *host) dump() HostDump {
	d := HostDump{
		Name: h.name, Address: h.addr, Queued: len(h.queue), Dialing: h.dialing, Failures: h.failures,
	}
	if h.lastError != nil {
		d.LastError = h.lastError.Error()
	}
	if l := h.link; l != nil {
		d.Linked, d.Incarnation, d.Dialed, d.Version = true, l.peer.Incarnation, l.dialed, l.version
		d.AgeMs = time.Since(l.openedAt).Milliseconds()
		d.QuietMs = d.AgeMs - time.Duration(l.lastReceived.Load()).Milliseconds()
		d.Counters = l.counters()
	}
	d.Counters.Dropped = h.dropped
	return d
}
