package linker

import (
	"syscall"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT. If the host refuses it, the session's
// pings detect a peer host that disappeared.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var fault error
	err := conn.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	if fault != nil {
		log.Debug().Err(fault).Msg("TCP_USER_TIMEOUT is not available")
	}
	return nil
}
