//go:build amd64 || arm64

package conns

import (
	"net"
	"syscall"
	"unsafe"
)

// hasUnreadData reports whether data waits to be read from the connection. It uses a
// system call that does not block and that the Go scheduler does not see: the goroutine
// keeps its turn and can act on the result at once.
func hasUnreadData(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	var n int
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		got, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if errno == 0 {
			n = int(got)
		}
	})
	return n > 0
}
