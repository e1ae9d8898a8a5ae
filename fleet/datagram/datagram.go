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

// MaxPacketSize is the size limit of a packet in bytes. A packet of this size fits one frame on
// every link between VMs.
const MaxPacketSize = 1400

// Traffic counts the packets of a VM's sockets.
type Traffic struct{ bytes, packets *prometheus.CounterVec }

// NewTraffic returns counters that are registered with r.
func NewTraffic(r prometheus.Registerer) *Traffic {
	labels := []string{"purpose", "direction"}
	t := &Traffic{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "goldcrest_datagram_bytes_total", Help: "Bytes in packets between VMs without UDP and IP headers, by purpose and direction.",
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

// Socket sends and receives the packets of one VM at one UDP address.
type Socket struct {
	conn     *net.UDPConn
	purpose  string
	traffic  *Traffic
	channels map[byte]Channel
}

// Channel is a second purpose for which a socket is used. Its packets begin with a tag byte.
type Channel struct {
	socket  *Socket
	tag     byte
	purpose string
	handle  func(b []byte, from string)
}

// Channel opens a channel of the socket. It must be called before Run. No packet of the main
// purpose may begin with the tag: CBOR maps begin with 0xa0 to 0xbf. handle is called for each
// packet with the sender's address and must not keep b.
func (s *Socket) Channel(tag byte, purpose string, handle func(b []byte, from string)) Channel {
	c := Channel{socket: s, tag: tag, purpose: purpose, handle: handle}
	s.channels[tag] = c
	return c
}

// Send sends a packet of the channel; see Socket.Send.
func (c Channel) Send(b []byte, to string) error {
	return c.socket.send(c.purpose, append([]byte{c.tag}, b...), to)
}

// Listen opens a socket at an "ip:port" address; port 0 selects a free port. The purpose labels
// the metrics of the main purpose.
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

// Addr returns the address of the socket, "ip:port".
func (s *Socket) Addr() string { return s.conn.LocalAddr().String() }

// Send sends a packet to an "ip:port" address. It returns an error only for an address that can't
// be parsed: a packet that the operating system rejects counts as lost on the network.
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

// Run receives packets until ctx is done, then closes the socket. handle is called for each packet
// of the main purpose with the sender's address and must not keep b. onError is called with
// receive errors, such as a refusal by a host to which a packet was sent.
func (s *Socket) Run(ctx context.Context, handle func(b []byte, from string), onError func(error)) {
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
	buf := make([]byte, MaxPacketSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			onError(err)
		default:
			address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
			s.receive(buf[:n], address, handle)
		}
	}
}

// receive passes a packet to the handler of its channel or of the main purpose.
func (s *Socket) receive(b []byte, from string, handle func(b []byte, from string)) {
	if len(b) > 0 {
		if c, ok := s.channels[b[0]]; ok {
			s.traffic.count(c.purpose, "received", len(b))
			c.handle(b[1:], from)
			return
		}
	}
	s.traffic.count(s.purpose, "received", len(b))
	handle(b, from)
}
