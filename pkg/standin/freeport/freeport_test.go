package freeport

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// addressesEach is more than one block.
const addressesEach = 3 * blockPorts

// TestMain prints addresses instead of running tests if it is told to.
func TestMain(m *testing.M) {
	if os.Getenv("FREEPORT_PRINT") == "" {
		os.Exit(m.Run())
	}
	for range addressesEach {
		address, err := Address()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(address)
	}
	fmt.Println("end")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // holds the blocks
}

// TestProcessesGetDifferentAddresses guards against two test processes that
// start programs on the same port, one of which then ends at its start.
func TestProcessesGetDifferentAddresses(t *testing.T) {
	seen := map[string]int{}
	for process := range 4 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "FREEPORT_PRINT=1")
		cmd.Stderr = os.Stderr
		stdin, err := cmd.StdinPipe()
		require.NoError(t, err)
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		t.Cleanup(func() {
			_ = stdin.Close()
			_ = cmd.Wait()
		})
		lines := bufio.NewScanner(stdout)
		for lines.Scan() && lines.Text() != "end" {
			other, again := seen[lines.Text()]
			require.False(t, again, "%s was given to processes %d and %d", lines.Text(), other, process)
			seen[lines.Text()] = process
		}
		require.NoError(t, lines.Err())
	}
	require.Len(t, seen, 4*addressesEach)
}

// TestAddressStaysFreeWhileProcessesStart guards against an address that is in
// use because a process that starts at the moment inherited the socket with which
// it was tried.
func TestAddressStaysFreeWhileProcessesStart(t *testing.T) {
	done := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				cmd := exec.Command(os.Args[0], "-test.run", "^$")
				if cmd.Start() == nil {
					_ = cmd.Wait() // only its start matters
				}
			}
		})
	}
	for range 2000 {
		address, err := Address()
		require.NoError(t, err)
		l, err := net.Listen("tcp4", address)
		require.NoError(t, err)
		u, err := net.ListenPacket("udp4", address)
		require.NoError(t, err)
		defer l.Close()
		defer u.Close()
	}
	close(done)
	starters.Wait()
}
