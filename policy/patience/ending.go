package patience

import "time"

// unknownShare is the share of a VM's last time that must be left for a request if nothing is known of how
// long its answer takes.
const unknownShare = 0.5

// LastRequest holds the inputs of the decision whether a VM that is about to stop takes one more request.
type LastRequest struct {
	// Left is the time until the VM stops, of Total since it was told to.
	Left, Total time.Duration
	// Limit is the time after which the caller gets an answer in any case.
	Limit time.Duration
	// Usual is a time within which nearly all requests of the kind end; 0 if unknown.
	Usual time.Duration
}

// EndsInTime reports whether the request will end before the VM stops, as far as is known. Another VM can
// still take a request that is refused at once.
func EndsInTime(r LastRequest) bool {
	switch {
	case r.Limit <= r.Left:
		return true
	case r.Usual > 0:
		return r.Usual <= r.Left
	}
	return r.Left >= time.Duration(unknownShare*float64(r.Total))
}
