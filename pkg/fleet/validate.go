package fleet

import (
	"math"
	"net/netip"

	"github.com/juju/errors"
)

const (
	// maxSlots is more than any server has. Larger numbers come from entries that
	// no server wrote, and would count as room for all requests of a pool.
	maxSlots = 1 << 16
	// maxTableNumber bounds the priority and the weights of a route: sums of them
	// must not overflow.
	maxTableNumber = 1 << 30
)

// Validate returns an error if the registration lacks a field or has a value that
// no server can have. Such a registration names no server.
func (s *Server) Validate() error {
	switch {
	case s.ID == "" || s.Pool == "" || s.Domain == "":
		return errors.Errorf("server %.64q lacks its ID, pool or failure domain", s.ID)
	case s.Slots <= 0 || s.Slots > maxSlots:
		return errors.Errorf("server %.64q has %d slots, which is not between 1 and %d", s.ID, s.Slots, maxSlots)
	case s.ColdFor < 0:
		return errors.Errorf("server %.64q is cold for a negative time", s.ID)
	}
	return errors.Annotatef(validateAddress(s.Address), "server %.64q", s.ID)
}

// Validate returns an error if the registration lacks a field or an address cannot
// be connected to.
func (h *EntryHost) Validate() error {
	switch {
	case h.Name == "" || h.Domain == "" || h.Region == "":
		return errors.Errorf("entry host %.64q lacks its name, failure domain or region", h.Name)
	case !(h.Capacity >= 0 && h.Capacity <= math.MaxInt32): // also true for NaN
		return errors.Errorf("entry host %.64q has the capacity %v", h.Name, h.Capacity)
	}
	for _, address := range []string{h.CallerAddress, h.PeerAddress, h.ControlAddress} {
		if err := validateAddress(address); err != nil {
			return errors.Annotatef(err, "entry host %.64q", h.Name)
		}
	}
	return nil
}

// validateAddress checks that an address is an IP address and a port to which
// connections can be made.
func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.Annotate(err, "address")
	case a.Port() == 0 || a.Addr().IsUnspecified():
		return errors.Errorf("address %.64q cannot be connected to", address)
	}
	return nil
}

// Validate returns an error that names the first row with a value outside its
// range.
func (t *Table) Validate() error {
	for i := range t.Routes {
		if err := t.Routes[i].validate(); err != nil {
			return errors.Annotatef(err, "route %.64q of version %d", t.Routes[i].Name, t.Version)
		}
	}
	for _, p := range t.Pools {
		if !(p.ColdRate >= 0) { // also true for NaN
			return errors.Errorf("pool %.64q of version %d: the cold rate %v is negative", p.Name, t.Version, p.ColdRate)
		}
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case r.Priority < 0 || r.Priority > maxTableNumber:
		return errors.Errorf("priority %d is not between 0 and %d", r.Priority, maxTableNumber)
	case r.Timeout < 0 || r.TargetLatency < 0:
		return errors.Errorf("timeout %s or target latency %s is negative", r.Timeout, r.TargetLatency)
	}
	for _, target := range r.Targets {
		if target.Weight < 0 || target.Weight > maxTableNumber {
			return errors.Errorf("weight %d of pool %.64q is not between 0 and %d", target.Weight, target.Pool, maxTableNumber)
		}
	}
	return nil
}
