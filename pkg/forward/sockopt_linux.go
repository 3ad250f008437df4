package forward

import "syscall"

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may
// stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
