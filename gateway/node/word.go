package node

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// gossipPayload is what a VM adds to each datagram of package gossip.
type gossipPayload struct {
	Orders []rollOutReport `cbor:"1,keyasint,omitempty"`
	Limits []limitReport   `cbor:"4,keyasint,omitempty"`
	// Crashes is nil if there is nothing to report. The key 3 belonged to sums of blame.
	Crashes *crashReports `cbor:"5,keyasint,omitempty"`
}

// maxPayloadBytes is the room for payload in a datagram, beside the reports on 400 VMs. A datagram
// that is too large is sent without its payload.
const maxPayloadBytes = 650

// payload encodes this VM's gossipPayload; nil if there is nothing to report.
func (n *Node) payload() []byte {
	var w gossipPayload
	w.Orders = n.rollouts.reports(bootClock(), maxPayloadBytes)
	w.Limits = n.limitReports()
	if b, err := cbor.Marshal(&w); err == nil {
		w.Crashes = n.suspects.report(maxPayloadBytes - len(b))
	}
	if len(w.Orders)+len(w.Limits) == 0 && w.Crashes == nil {
		return nil
	}
	b, err := cbor.Marshal(&w)
	if err != nil {
		n.log.Error().Err(err).Msg("payload for other VMs can't be encoded")
		return nil
	}
	return b
}

// receivePayload applies the payload of another VM.
func (n *Node) receivePayload(from string, incarnation uint64, payload []byte) {
	var w gossipPayload
	if err := cbor.Unmarshal(payload, &w); err != nil {
		n.log.Warn().Err(err).Str("from", from).Msg("payload of another VM can't be decoded")
		return
	}
	n.rollouts.mergeReports(bootClock(), from+"/"+strconv.FormatUint(incarnation, 36), w.Orders)
	if w.Crashes != nil {
		n.suspects.merge(from, w.Crashes, false)
	}
	n.mergeLimitReports(from, w.Limits)
}
