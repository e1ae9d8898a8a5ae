// Package datagram sends and receives packets between VMs over UDP.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Largest is the most bytes in a packet: it fits one frame on each of the links between VMs.
const Largest = 1400

// Traffic counts the packets of a VM's sockets.
type Traffic struct{ bytes, packets *prometheus.CounterVec }

// NewTraffic registers the counters.
func NewTraffic(r prometheus.Registerer) *Traffic {
	labels := []string{"purpose", "direction"}
	t := &Traffic{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_datagram_bytes_total", Help: "Bytes in packets between VMs without their heads, by purpose and direction.",
		}, labels),
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_datagram_packets_total", Help: "Packets between VMs, by purpose and direction.",
		}, labels),
	}
	r.MustRegister(t.bytes, t.packets)
	return t
}

func (t *Traffic) count(purpose, direction string, bytes int) {
	t.bytes.WithLabelValues(purpose, direction).Add(float64(bytes))
	t.packets.WithLabelValues(purpose, direction).Inc()
}

// Socket is one VM's end.
type Socket struct {
	conn     *net.UDPConn
	purpose  string
	traffic  *Traffic
	channels map[byte]Channel
}

// Channel is a use of a socket beside its main one; its packets begin with a tag.
type Channel struct {
	socket  *Socket
	tag     byte
	purpose string
	take    func(b []byte, from string)
}

// Channel opens a use of the socket before Run. No packet of the main use may begin with
// the tag: CBOR maps begin with 0xa0 to 0xbf. take must not keep b.
func (s *Socket) Channel(tag byte, purpose string, take func(b []byte, from string)) Channel {
	c := Channel{socket: s, tag: tag, purpose: purpose, take: take}
	s.channels[tag] = c
	return c
}

// Send sends a packet of the channel as Socket.Send does.
func (c Channel) Send(b []byte, to string) error {
	return c.socket.send(c.purpose, append([]byte{c.tag}, b...), to)
}

// Listen opens a socket for a purpose at an IP number and port; port 0 takes a free one.
func Listen(address, purpose string, traffic *Traffic) (*Socket, error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: conn, purpose: purpose, traffic: traffic, channels: make(map[byte]Channel)}, nil
}

// Addr is the address in use, "ip:port".
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends a packet, without word of its arrival. The error is of an address that
// can't be read: a packet that the system doesn't take is as one that is lost on the way.
func (s *Socket) Send(b []byte, to string) error { return s.send(s.purpose, b, to) }

func (s *Socket) send(purpose string, b []byte, to string) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	s.traffic.count(purpose, "sent", len(b))
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
			s.receive(buf[:n], address, take)
		}
	}
}

// receive gives a packet to the use that it is for.
func (s *Socket) receive(b []byte, from string, take func(b []byte, from string)) {
	if len(b) > 0 {
		if c, ok := s.channels[b[0]]; ok {
			s.traffic.count(c.purpose, "received", len(b))
			c.take(b[1:], from)
			return
		}
	}
	s.traffic.count(s.purpose, "received", len(b))
	take(b, from)
}
