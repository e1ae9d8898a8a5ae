package node

import "goldcrestfork/fleet/tally"

// Topics of the sums that VMs exchange.
const (
	topicPace   uint8 = iota + 1 // by endpoint: how fast it works
	topicDemand                  // by service, account and priority: offered and admitted work
	topicMemory                  // by endpoint: tokens held
)

// sumTopic is one part of a VM whose figures add up over the fleet.
type sumTopic struct {
	collect func() []tally.Sum
	apply   func([]tally.Sum)
}

// addSums registers a part. collect returns this VM's sums of the topic, nil if the topic isn't to be
// exchanged. apply gets the totals over all VMs, this one included, twice a second while a keeper answers.
// addSums must be called before Run.
func (n *Node) addSums(topic uint8, collect func() []tally.Sum, apply func([]tally.Sum)) {
	n.sums[topic] = sumTopic{collect: collect, apply: apply}
}

// collectSums returns this VM's sums of the topics that it takes part in.
func (n *Node) collectSums() (out []tally.TopicSums) {
	for topic, t := range n.sums {
		if list := t.collect(); list != nil {
			out = append(out, tally.TopicSums{Topic: topic, List: list})
		}
	}
	return out
}

// applySums hands the totals over the fleet to their part.
func (n *Node) applySums(totals tally.TopicSums) {
	if t, ok := n.sums[totals.Topic]; ok {
		t.apply(totals.List)
	}
}
