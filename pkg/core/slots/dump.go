package slots

import "github.com/tamarackswitch/tamarackswitch/pkg/core/admission"

// Dump is the state of a Dispatcher.
type Dump struct {
	Pool       string `json:"pool"`
	Domain     string `json:"domain"`
	Epoch      uint64 `json:"epoch"`
	Slots      int    `json:"slots"`
	Lent       int    `json:"lent"`
	Grants     int    `json:"grants"`
	Recovering bool   `json:"recovering"`
	Waiting    int    `json:"hosts_not_answered"`
	// Lost counts the hosts whose share is withheld.
	Lost    int            `json:"lost_hosts"`
	Servers []ServerDump   `json:"servers"`
	Queue   admission.Dump `json:"queue"`
}

// ServerDump is the state of one server.
type ServerDump struct {
	Address  string `json:"address"`
	Allowed  int    `json:"allowed"`
	Running  int    `json:"running"`
	Held     int    `json:"held"`
	Withheld int    `json:"withheld"`
	Drain    bool   `json:"drain"`
	Removed  bool   `json:"removed"`
}

// Dump returns the state of the dispatcher as of its last call.
func (d *Dispatcher) Dump() Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := Dump{
		Pool: d.cfg.Pool.Name, Domain: d.cfg.Domain, Epoch: d.epoch, Slots: d.slots, Lent: d.lent,
		Grants: len(d.grants), Recovering: d.recovery.active, Waiting: len(d.recovery.unanswered), Lost: len(d.lost), Queue: d.queue.Dump(),
	}
	for _, s := range d.servers {
		out.Servers = append(out.Servers, ServerDump{
			Address: s.address, Allowed: s.allowance, Running: s.running, Held: len(s.cooldowns), Withheld: s.withheld, Drain: s.drain, Removed: s.removed,
		})
	}
	return out
}
