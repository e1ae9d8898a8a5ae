package room

const (
	// memoryShare is the share of an endpoint's memory that is used. Token counts are estimates of the
	// callers, and engines hold some memory per request beside its tokens.
	memoryShare = 0.9
	// openShare is the share of the usable memory up to which each VM may add its part without regard to
	// its rank. A rank keeps a VM from most endpoints, and so from those with a prefix in their cache.
	openShare = 0.5
	// maxOpenVMs bounds the VMs that openShare is split among. Among 85 VMs an equal part would be less
	// than one large prompt; the load that VMs exchange keeps more than a few of them from the same
	// endpoint within half a second.
	maxOpenVMs = 8
	// turnShare is the part of the usable memory that a VM gets in one turn beyond openShare. VMs with
	// requests of different sizes stay within the memory as long as none exceeds it.
	turnShare = 0.125
)

// Usage is what one VM knows of the tokens that an endpoint holds.
type Usage struct {
	// Capacity is the endpoint's memory in tokens.
	Capacity int
	// Own are the tokens of this VM's requests, exactly.
	Own int
	// Summed is what Own was in the last sums over the fleet, and Others the tokens of the other VMs in
	// them. Both are used only if Recent is set.
	Summed, Others int
	Recent         bool
	// VMs is the number of VMs that share the endpoint.
	VMs int
	// Rank returns this VM's place among them at this endpoint, 0 for the first. It is called only if
	// the decision depends on it.
	Rank func() int
}

// Held returns the tokens that the endpoint holds, as far as is known. Without recent sums all VMs are
// taken to hold as many as this one.
func (u *Usage) Held() int {
	if u.Recent {
		return u.Others + u.Own
	}
	return u.Own * max(u.VMs, 1)
}

// Fits reports whether a request that may take the given number of tokens may be sent to the endpoint.
func (u *Usage) Fits(tokens int) bool {
	limit := int(memoryShare * float64(u.Capacity))
	held := u.Held()
	if tokens > limit {
		// Two such requests crash the endpoint, so only one VM may send them to it.
		return held == 0 && (u.VMs <= 1 || u.Rank() == 0)
	}
	if held+tokens > limit {
		return false
	}
	if u.VMs <= 1 {
		return true
	}
	known, added := u.sinceSums()
	open := int(openShare * float64(limit))
	part := max(open-known, 0) / min(u.VMs, maxOpenVMs)
	return added+tokens <= part || added+tokens <= part+u.turns(limit-max(known, open), limit, tokens)
}

// turns returns the tokens of what is left that this VM may use. All VMs get the same amount in turn, by
// rank, until nothing is left.
func (u *Usage) turns(left, limit, tokens int) int {
	if tokens > left {
		// It fits, but not into one part of the memory. The first VM alone may send such requests.
		if u.Rank() == 0 {
			return tokens
		}
		return 0
	}
	turn := max(tokens, min(left, int(turnShare*float64(limit))), 1)
	mine := left/turn - u.Rank()
	if mine <= 0 {
		return 0
	}
	return turn * ((mine + u.VMs - 1) / u.VMs)
}

// sinceSums splits the tokens into those that the last sums show, and those that this VM added since;
// below 0 if it has released more. What it released is its own to use again until the next sums.
func (u *Usage) sinceSums() (known, added int) {
	if !u.Recent {
		return 0, u.Own
	}
	return u.Others + u.Summed, u.Own - u.Summed
}
