package conns

import "syscall"

// limitBuffers sets the sizes of the buffers of a socket. What has been received and not
// read counts as memory of the process.
func limitBuffers(fd uintptr, size int) {
	// An error leaves the system's sizes.
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
}
