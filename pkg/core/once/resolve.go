package once

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// ownerRetryAfter is the retry delay returned while the owner of a key cannot be reached.
const ownerRetryAfter = 2 * time.Second

// Host is the local host's current view of a host.
type Host struct {
	// Identity of the process; Incarnation 0 means that it is not known, as in
	// the platform's list of hosts.
	Identity
	// Reachable is false while the host is suspected or cut off.
	Reachable bool
	// Removed is true for a host that was declared dead or has ended.
	Removed bool
	// Holds lists the incarnations whose keys were handed over to the host.
	Holds []Identity
}

// Target is the host that decides about a key.
type Target struct {
	// Local is true if this host answers for the key.
	Local bool
	// Relay is the host to relay the request to if Local is false.
	Relay Identity
}

// Resolve decides where a key is answered. hosts are the known hosts of all
// domains; self may be among them. The error is a *result.Error with run state
// unknown: KeyOwnerUnreachable if the owner cannot be reached now, KeyOwnerGone if
// it has ended without a known successor.
func Resolve(self Host, key Key, hosts []Host) (Target, error) {
	if key.Opaque {
		return Target{Local: true}, nil
	}
	if key.Owner == self.Identity || holds(self, key.Owner) {
		return Target{Local: true}, nil
	}
	if r, found, err := resolveSuccessor(key, hosts); found {
		return r, err
	}
	named, found := self, self.Domain == key.Owner.Domain && self.Host == key.Owner.Host
	for _, h := range hosts {
		if h.Domain != key.Owner.Domain || h.Host != key.Owner.Host || h.Identity == self.Identity {
			continue
		}
		if !found || h.Incarnation > named.Incarnation {
			named, found = h, true
		}
	}
	if !found {
		return Target{}, unreachable(key)
	}
	return resolveNamed(key, named)
}

// resolveSuccessor relays to the one live host that the keys of the key's owner
// were handed over to. If there are two such hosts, the membership view is still
// converging and the caller has to retry.
func resolveSuccessor(key Key, hosts []Host) (Target, bool, error) {
	var holder Host
	found := false
	for _, h := range hosts {
		if h.Removed || !holds(h, key.Owner) {
			continue
		}
		if found && h.Identity != holder.Identity {
			return Target{}, true, unreachable(key)
		}
		holder, found = h, true
	}
	if found && !holder.Reachable {
		return Target{}, true, unreachable(key)
	}
	return Target{Relay: holder.Identity}, found, nil
}

// resolveNamed resolves a key against h, the newest process known under the
// key's host name.
func resolveNamed(key Key, h Host) (Target, error) {
	want := key.Owner.Incarnation
	switch {
	case h.Incarnation != 0 && h.Incarnation < want:
		// The local host's view is older than the key.
		return Target{}, unreachable(key)
	case h.Incarnation > want || h.Removed:
		return Target{}, gone(key)
	case !h.Reachable:
		return Target{}, unreachable(key)
	}
	// If the incarnation is not known here, the receiver of the request checks it.
	return Target{Relay: h.Identity}, nil
}

func unreachable(key Key) error {
	return result.New(result.KeyOwnerUnreachable, "%s cannot be reached now", key.Owner).
		WithRun(result.Unknown).WithRetryAfter(ownerRetryAfter)
}

func gone(key Key) error {
	return result.New(result.KeyOwnerGone, "%s has ended and no successor is known", key.Owner).WithRun(result.Unknown)
}

func holds(h Host, id Identity) bool {
	for _, x := range h.Holds {
		if x == id {
			return true
		}
	}
	return false
}
