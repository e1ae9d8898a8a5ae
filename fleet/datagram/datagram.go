// Package datagram sends and receives packets between VMs over UDP.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// Largest is the most bytes in a packet: it fits one frame on each of the links between VMs.
const Largest = 1400

// Socket is one VM's end.
type Socket struct {
	conn     *net.UDPConn
	channels map[byte]func(b []byte, from string)
}

// Channel is a use of a socket beside its main one; its packets begin with a tag.
type Channel struct {
	socket *Socket
	tag    byte
}

// Channel opens a use of the socket before Run. No packet of the main use may begin with
// the tag: CBOR maps begin with 0xa0 to 0xbf. take must not keep b.
func (s *Socket) Channel(tag byte, take func(b []byte, from string)) Channel {
	if s.channels == nil {
		s.channels = make(map[byte]func([]byte, string))
	}
	s.channels[tag] = take
	return Channel{socket: s, tag: tag}
}

// Send sends a packet of the channel as Socket.Send does.
func (c Channel) Send(b []byte, to string) error {
	return c.socket.Send(append([]byte{c.tag}, b...), to)
}

// Listen opens a socket at an IP number and port; port 0 takes a free one.
func Listen(address string) (*Socket, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn}, nil
}

// Addr is the address in use, "ip:port".
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends a packet, without word of its arrival. The error is of an address that
// can't be read: a packet that the system doesn't take is as one that is lost on the way.
func (s *Socket) Send(b []byte, to string) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, addr)
	return nil
}

// Run receives until the context ends, then closes the socket. take must not keep b;
// failed is told of errors, such as a refusal by a host that a packet was sent to.
func (s *Socket) Run(ctx context.Context, take func(b []byte, from string), failed func(error)) {
	var closing sync.WaitGroup
	closing.Add(1)
	stop := context.AfterFunc(ctx, func() {
		defer closing.Done()
		_ = s.conn.Close()
	})
	defer func() {
		if !stop() {
			closing.Wait()
		}
	}()
	buf := make([]byte, Largest)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			failed(err)
		default:
			address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
			if n > 0 && s.channels[buf[0]] != nil {
				s.channels[buf[0]](buf[1:n], address)
			} else {
				take(buf[:n], address)
			}
		}
	}
}
