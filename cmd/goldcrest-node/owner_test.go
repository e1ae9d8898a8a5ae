package main

import (
	native "encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// owners finds the VM whose process opened a connection on the loopback interface.
type owners struct {
	mu  sync.Mutex
	vms []*vm
}

// nameOf returns the name of the VM that has the other end of a connection, "" if none has.
func (o *owners) nameOf(c net.Conn) string {
	o.mu.Lock()
	vms := o.vms
	o.mu.Unlock()
	if v := ownerOf(c, vms); v != nil {
		return v.name
	}
	return ""
}

// ownerOf returns the VM among some that has the other end of a connection, nil if none has.
func ownerOf(c net.Conn, vms []*vm) *vm {
	inode, err := inodeOfPeer(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if err != nil || inode == 0 {
		return nil
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, v := range vms {
		fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", v.pid.Load())) // the pattern is well formed
		for _, fd := range fds {
			if to, err := os.Readlink(fd); err == nil && to == want {
				return v
			}
		}
	}
	return nil
}

const (
	// sockDiagByFamily is the type of a request for sockets (from linux/sock_diag.h).
	sockDiagByFamily = 20
	// diagRequestLength and diagHeaderLength are the lengths of inet_diag_req_v2 and of a netlink message's head.
	diagRequestLength = 56
	diagHeaderLength  = 16
	// diagInode is the offset of the inode in inet_diag_msg.
	diagInode = 68
)

// inodeOfPeer asks the kernel for the inode of the socket at a local address that is connected to another one.
func inodeOfPeer(local, remote *net.TCPAddr) (uint32, error) {
	s, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(s)
	b := make([]byte, diagHeaderLength+diagRequestLength)
	native.NativeEndian.PutUint32(b[0:], uint32(len(b)))
	native.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	native.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST)
	q := b[diagHeaderLength:]
	q[0], q[1] = unix.AF_INET, unix.IPPROTO_TCP
	native.NativeEndian.PutUint32(q[4:], ^uint32(0)) // any state
	native.BigEndian.PutUint16(q[8:], uint16(local.Port))
	native.BigEndian.PutUint16(q[10:], uint16(remote.Port))
	copy(q[12:], local.IP.To4())
	copy(q[28:], remote.IP.To4())
	for i := 48; i < 56; i++ {
		q[i] = 0xff // any cookie
	}
	if err := unix.Sendto(s, b, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, 4<<10)
	n, _, err := unix.Recvfrom(s, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < diagHeaderLength+diagInode+4 || native.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("no socket at %s that is connected to %s", local, remote)
	}
	return native.NativeEndian.Uint32(answer[diagHeaderLength+diagInode:]), nil
}
