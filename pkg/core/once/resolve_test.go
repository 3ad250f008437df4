package once

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Guards against a key that is decided by a host that does not answer for it.
func TestResolve(t *testing.T) {
	self := Host{Identity: hostA, Reachable: true}
	newer := func(id Identity) Identity { id.Incarnation++; return id }
	key := keyAt(t, hostB, 0, "1")
	for name, c := range map[string]struct {
		self  Host
		key   Key
		hosts []Host
		relay Identity
		local bool
		code  result.Code
	}{
		"own":            {self: self, key: keyAt(t, hostA, 0, "1"), local: true},
		"held":           {self: Host{Identity: hostA, Holds: []Identity{hostB}}, key: key, local: true},
		"relay":          {self: self, key: key, hosts: []Host{{Identity: hostB, Reachable: true}}, relay: hostB},
		"no incarnation": {self: self, key: key, hosts: []Host{{Identity: Identity{hostB.Domain, "b", 0}, Reachable: true}}, relay: Identity{hostB.Domain, "b", 0}},
		"unreachable":    {self: self, key: key, hosts: []Host{{Identity: hostB}}, code: result.KeyOwnerUnreachable},
		"not listed":     {self: self, key: key, code: result.KeyOwnerUnreachable},
		"removed":        {self: self, key: key, hosts: []Host{{Identity: hostB, Removed: true}}, code: result.KeyOwnerGone},
		"replaced":       {self: self, key: key, hosts: []Host{{Identity: hostB}, {Identity: newer(hostB), Reachable: true}}, code: result.KeyOwnerGone},
		"own view lags":  {self: self, key: keyAt(t, newer(hostB), 0, "1"), hosts: []Host{{Identity: hostB, Removed: true}}, code: result.KeyOwnerUnreachable},
		"own name":       {self: Host{Identity: newer(hostB)}, key: key, code: result.KeyOwnerGone},
		"successor":      {self: self, key: key, hosts: []Host{{Identity: hostB, Reachable: true}, {Identity: hostC, Reachable: true, Holds: []Identity{hostB}}}, relay: hostC},
		"two successors": {self: self, key: key, hosts: []Host{{Identity: newer(hostA), Reachable: true, Holds: []Identity{hostB}}, {Identity: hostC, Reachable: true, Holds: []Identity{hostB}}}, code: result.KeyOwnerUnreachable},
		"dead successor": {self: self, key: key, hosts: []Host{{Identity: hostB, Removed: true}, {Identity: hostC, Removed: true, Holds: []Identity{hostB}}}, code: result.KeyOwnerGone},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Resolve(c.self, c.key, c.hosts)
			if c.code != 0 {
				requireCode(t, err, c.code, result.Unknown)
				return
			}
			require.NoError(t, err)
			require.Equal(t, Target{Local: c.local, Relay: c.relay}, got)
		})
	}
}

// Guards against a host that runs unrecorded keys of an origin although its
// predecessor had imported only some chunks of that origin.
func TestChainOfHandoffs(t *testing.T) {
	a, b, c := NewOwner(hostA, epoch, 0), NewOwner(hostB, epoch, 0), NewOwner(hostC, epoch, 0)
	a.chunkBytes = 1
	for _, r := range []string{"1", "2"} {
		_, err := a.Begin(epoch, Request{Key: keyAt(t, hostA, 0, r)})
		require.NoError(t, err)
	}
	fromA, err := a.Export(epoch, hostB)
	require.NoError(t, err)
	require.Len(t, fromA, 2)
	require.NoError(t, b.Import(epoch, fromA[0]))
	fromB, err := b.Export(epoch, hostC)
	require.NoError(t, err)
	require.Error(t, b.Import(epoch, fromA[1]), "a host that has handed over takes nothing more")
	for _, chunk := range fromB {
		require.NoError(t, c.Import(epoch, chunk))
	}
	for _, r := range []string{"1", "2", "3"} {
		_, err = c.Begin(epoch, Request{Key: keyAt(t, hostA, 0, r)})
		require.Equal(t, result.Unknown, result.From(err).Run)
	}
	start, err := c.Begin(epoch, Request{Key: keyAt(t, hostB, 0, "1")})
	require.NoError(t, err)
	require.True(t, start.Run, "the export of b itself was complete")
}

// Guards against refusing a key whose create call was applied for this request
// but whose answer was lost, and against more creates than the host's share of
// the budget.
func TestLostCreate(t *testing.T) {
	s := NewStoreKeys(hostA, CreatesPerSecond)
	req := Request{Key: mustKey(t, "order-4711")}
	op, step := s.Begin(epoch, req)
	stored := platform.Object{Key: step.Action.Key, Version: 3, Value: step.Action.Value}
	step = op.Next(epoch, StoreResult{Err: errors.New("connection reset")})
	require.Equal(t, StoreGet, step.Action.Verb)
	require.True(t, op.Next(epoch, StoreResult{Object: stored}).Run)
	require.Equal(t, int64(3), s.Finish(epoch, op, Outcome{State: Ran}).IfVersion)

	_, step = s.Begin(epoch, req)
	requireCode(t, step.Err, result.KeyStoreDown, result.Unknown)
	_, step = s.Begin(epoch.Add(Window), req)
	require.NotNil(t, step.Action)
	_, step = s.Begin(epoch.Add(Window), req)
	require.Nil(t, step.Action, "unused budget does not add up")
}
