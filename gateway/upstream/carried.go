package upstream

import (
	"context"
	"hash/maphash"
	"math"
	"slices"
	"time"
)

// maxCarried bounds the requests that a connection remembers. A connection that has carried more before
// their time limits is closed when its exchange ends.
const maxCarried = 256

// carriedRequests are the requests that a connection has carried and that may be sent again, by this or
// another exchange. An endpoint may send a copy of an answer late, and the request's id in it doesn't tell
// which sending it answers. A request is therefore sent on a connection once.
type carriedRequests []carriedRequest

// carriedRequest is one of them.
type carriedRequest struct {
	hash  uint64        // of its id; a collision costs a connection
	until time.Duration // when it can't be sent again, since the pool's start
}

// hashSeed is that of the hashes of requests' ids.
var hashSeed = maphash.MakeSeed()

// has reports whether the connection has carried a request.
func (c carriedRequests) has(id string) bool {
	if id == "" {
		return false
	}
	hash := maphash.String(hashSeed, id)
	return slices.ContainsFunc(c, func(r carriedRequest) bool { return r.hash == hash })
}

// add records that the connection carries a request that isn't sent after a time, and forgets those that
// can't be sent again.
func (c *carriedRequests) add(now time.Duration, id string, until time.Duration) {
	if len(*c) == cap(*c) {
		*c = slices.DeleteFunc(*c, func(r carriedRequest) bool { return r.until < now })
	}
	*c = append(*c, carriedRequest{hash: maphash.String(hashSeed, id), until: until})
}

// isFull reports whether the connection may carry no further request.
func (c carriedRequests) isFull(now time.Duration) bool {
	return len(c) >= maxCarried && !slices.ContainsFunc(c, func(r carriedRequest) bool { return r.until < now })
}

// recordCarried records that a connection carries a request that isn't sent after the end of its context.
func (p *Pool) recordCarried(ctx context.Context, c *conn, id string) {
	if id == "" {
		return // no answer is told apart by its id
	}
	until := time.Duration(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		until = deadline.Sub(p.started)
	}
	c.carried.add(time.Since(p.started), id, until)
}
