// Package freeport allocates loopback addresses for tests. No two test processes
// on a machine get the same address, so that a process under test finds its
// ports free at each start, including restarts.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

const (
	// The ports from firstPort up to but not including limitPort are divided into
	// blocks. They lie below the ephemeral ports, which the kernel assigns to
	// outgoing connections.
	firstPort = 12000
	limitPort = 32000
	// blockPorts is the number of ports in a block. The first port is not
	// allocated: the process that listens on it has reserved the block.
	blockPorts = 100
	blockCount = (limitPort - firstPort) / blockPorts
)

// Reserver reserves blocks of ports and allocates addresses from them. Blocks
// stay reserved until the process ends. It is safe for concurrent use.
type Reserver struct {
	mu                sync.Mutex
	listeners         []net.Listener
	nextPort, endPort int
}

// shared is the Reserver that the function Address uses.
var shared Reserver

// Address returns an address, "127.0.0.1:PORT", from the blocks reserved by this
// process. It is free for TCP and UDP and is not returned again.
func Address() (string, error) { return shared.Address() }

// Address returns an address that is free for TCP and UDP and that no Reserver of
// a running process has returned before.
func (r *Reserver) Address() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if r.nextPort >= r.endPort {
			if err := r.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(r.nextPort)
		r.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
}

// reserveBlock reserves the next block that no process has reserved. The caller
// holds r.mu.
func (r *Reserver) reserveBlock() error {
	// Processes search from different blocks, so that a block is not used again
	// right after the process that held it has ended.
	startBlock := os.Getpid() + len(r.listeners)
	for i := range blockCount {
		port := firstPort + (startBlock+i)%blockCount*blockPorts
		l, err := net.Listen("tcp4", loopbackAddress(port))
		if err != nil {
			continue
		}
		r.listeners = append(r.listeners, l)
		r.nextPort, r.endPort = port+1, port+blockPorts
		return nil
	}
	return errors.Errorf("all %d blocks of ports from %d to %d are in use", blockCount, firstPort, limitPort)
}

// isFree reports whether the address can be bound for TCP and UDP. ForkLock keeps
// this process from forking meanwhile: a child would inherit the sockets and keep
// them open until its exec.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
