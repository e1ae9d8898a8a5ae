package node

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/policy/poison"
)

// word is what a VM adds to the fleet's sums in each datagram.
type word struct {
	Orders   []orderWord               `cbor:"1,keyasint,omitempty"`
	Suspects map[string][]poison.Count `cbor:"3,keyasint,omitempty"` // by service
}

// payload encodes this VM's word; nil for nothing to say.
func (n *Node) payload() []byte {
	var w word
	w.Orders = n.rollouts.word(bootClock())
	w.Suspects = n.suspects.word()
	if len(w.Orders)+len(w.Suspects) == 0 {
		return nil
	}
	b, err := cbor.Marshal(&w)
	if err != nil {
		n.log.Error().Err(err).Msg("word for other VMs can't be encoded")
		return nil
	}
	return b
}

// take takes another VM's word.
func (n *Node) take(from string, life uint64, payload []byte) {
	var w word
	if err := cbor.Unmarshal(payload, &w); err != nil {
		n.log.Warn().Err(err).Str("from", from).Msg("another VM's word can't be read")
		return
	}
	n.rollouts.take(bootClock(), from+"/"+strconv.FormatUint(life, 36), w.Orders)
	n.suspects.take(w.Suspects)
}
