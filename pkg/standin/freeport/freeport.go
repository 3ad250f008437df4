// Package freeport gives tests loopback addresses that no other test process on
// the machine gets, so that a process under test finds its ports free at every
// start.
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
	// firstPort and lastPort are below the ports that the kernel gives to
	// outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// blockPorts is the number of ports of a block. The first one is not given
	// out: a listener on it reserves the block.
	blockPorts = 100
	blocks     = (lastPort - firstPort) / blockPorts
)

// Reserver gives out addresses of the blocks that it has reserved. Blocks stay
// reserved until the process ends.
type Reserver struct {
	mu        sync.Mutex
	listeners []net.Listener
	next, end int
}

// shared is the reserver of the process.
var shared Reserver

// Address returns an address of the process's own blocks, "127.0.0.1:PORT",
// that is free for TCP and UDP.
func Address() (string, error) { return shared.Address() }

// Address returns an address that no Reserver returned before, free for TCP and
// UDP.
func (r *Reserver) Address() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if r.next >= r.end {
			if err := r.reserve(); err != nil {
				return "", err
			}
		}
		address := loopback(r.next)
		r.next++
		if free(address) {
			return address, nil
		}
	}
}

// reserve takes the next block that no process holds.
func (r *Reserver) reserve() error {
	// Processes start at different blocks, so that a block is not used again
	// right after the process that held it has ended.
	start := os.Getpid() + len(r.listeners)
	for i := range blocks {
		port := firstPort + (start+i)%blocks*blockPorts
		l, err := net.Listen("tcp4", loopback(port))
		if err != nil {
			continue
		}
		r.listeners = append(r.listeners, l)
		r.next, r.end = port+1, port+blockPorts
		return nil
	}
	return errors.Errorf("all %d blocks of ports from %d to %d are in use", blocks, firstPort, lastPort)
}

// free reports whether nothing listens on the address. No process may start
// meanwhile: it would hold the sockets until it runs its program.
func free(address string) bool {
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

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
