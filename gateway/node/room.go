package node

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/fleet/tally"
	"goldcrestfork/policy/room"
	"goldcrestfork/router/listen"
)

// callerBuffer is the size of each of the kernel's buffers of a caller's connection. By default they grow
// to several MB for a caller that sends early or doesn't read, and a VM has 144 MB.
const callerBuffer = 64 << 10

// newRoom returns the counter of the bytes that this VM holds for callers and the bound on their
// connections. If the settings ask for it, the VM takes part in the sums of tokens by endpoint.
func (n *Node) newRoom() (*room.Bytes, *listen.Connections) {
	if n.s.hasContract(contractPressure) {
		n.addSums(topicMemory, n.collectTokens, n.applyTokens)
	}
	heads := n.s.HeadBytes
	if heads == 0 {
		heads = room.MaxHeadBytes(n.s.MemoryMB)
	}
	n.guard = listen.NewGuard(heads, n.registry, n.log)
	held, conns := room.NewBytes(n.s.MemoryMB), listen.NewConnections(room.MaxConnections(n.s.MemoryMB, n.s.Descriptors))
	n.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "goldcrest_forward_held_bytes", Help: "Bytes of requests' bodies and of whole answers that this VM holds.",
		}, func() float64 { return float64(held.Held()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "goldcrest_forward_connections", Help: "Connections of callers that this VM holds.",
		}, func() float64 { return float64(conns.Count()) }),
	)
	return held, conns
}

// applyMemory applies the memory of endpoints as the configuration states it.
func (n *Node) applyMemory() {
	conf := n.view.Config()
	if conf == nil || !n.s.hasContract(contractPressure) {
		return
	}
	capacity := make(map[string]int)
	for name, s := range conf.Services {
		if s.MemoryTokens > 0 {
			capacity[name] = s.MemoryTokens
		}
	}
	n.table.SetMemory(capacity, n.tokenFleet)
}

// tokenFleet implements placement.TokenFleet.
func (n *Node) tokenFleet() (vms int, rank func(endpoint string) int) {
	names := n.sharingVMs()
	return len(names), func(endpoint string) int {
		if place := rendezvous.Position(endpoint, n.s.VM, names); place >= 0 {
			return place
		}
		return len(names) // this VM has not joined yet
	}
}

// collectTokens returns the tokens of this VM's requests by endpoint.
func (n *Node) collectTokens() []tally.Sum {
	tokens := n.table.LocalTokens(tally.MaxSums)
	if tokens == nil {
		return nil
	}
	out := make([]tally.Sum, 0, len(tokens))
	for id, held := range tokens {
		out = append(out, tally.Sum{Key: tally.EndpointHash(id), A: float32(held), B: float32(held)})
	}
	return out
}

// applyTokens applies the tokens of the requests of all VMs. A list that is as long as it may be leaves
// out endpoints, which hold at most as much as the last one on it.
func (n *Node) applyTokens(totals []tally.Sum) {
	byShort := make(map[uint32]int, len(totals))
	least := 0
	for i, s := range totals {
		held := int(min(max(s.B, 0), maxTokenTotal))
		byShort[s.Key] = held
		if i == 0 || held < least {
			least = held
		}
	}
	if len(totals) < tally.MaxSums {
		least = 0
	}
	n.table.SetTokenTotals(time.Now(), byShort, least)
}

// maxTokenTotal bounds the tokens at one endpoint in the sums, so that arithmetic on them can't overflow.
const maxTokenTotal = 1 << 40

// limitCallerBuffers sets the sizes of the kernel's buffers of a new connection of a caller.
func limitCallerBuffers(c net.Conn, state http.ConnState) {
	if tcp, ok := listen.TCP(c); ok && state == http.StateNew {
		// A refusal leaves the usual buffer.
		_ = tcp.SetWriteBuffer(callerBuffer)
		_ = tcp.SetReadBuffer(callerBuffer)
	}
}
