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

// addressesPerProcess is larger than a block, so that each process reserves
// several.
const addressesPerProcess = 3 * blockPorts

// TestMain runs the tests or, if FREEPORT_PRINT is set, prints addresses and
// keeps their blocks reserved until standard input is closed.
func TestMain(m *testing.M) {
	if os.Getenv("FREEPORT_PRINT") == "" {
		os.Exit(m.Run())
	}
	for range addressesPerProcess {
		address, err := Address()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(address)
	}
	fmt.Println("end")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // keeps the blocks reserved
}

// TestProcessesGetDifferentAddresses guards against two test processes that get
// the same port for programs under test, one of which then fails at startup.
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
			other, duplicate := seen[lines.Text()]
			require.False(t, duplicate, "%s was given to processes %d and %d", lines.Text(), other, process)
			seen[lines.Text()] = process
		}
		require.NoError(t, lines.Err())
	}
	require.Len(t, seen, 4*addressesPerProcess)
}

// TestAddressStaysFreeWhileProcessesStart guards against an address that is still
// in use after Address returned it, because a child process forked during the
// check inherited the socket that was bound to test the address.
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
					_ = cmd.Wait() // only the fork matters
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
