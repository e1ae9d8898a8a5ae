package link

import "golang.org/x/sys/unix"

// tcpState returns the state of a socket's connection, as the kernel's TCP_INFO gives it.
func tcpState(fd uintptr) byte {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return tcpClosed
	}
	return info.State
}
