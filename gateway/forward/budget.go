package forward

// maxRepeatNotes bounds the decisions of the retry budget in a log line.
const maxRepeatNotes = 8

// takeExtra asks the retry budget for one more attempt and notes the decision for the log.
func (c *call) takeExtra() bool {
	use, ok := c.h.cfg.Budget.TakeExtra(c.service)
	if ok {
		c.grant = &use
	}
	if len(c.repeatNotes) < maxRepeatNotes {
		decision := "denied"
		if ok {
			decision = "granted"
		}
		c.repeatNotes = append(c.repeatNotes, decision+"("+use.String()+")")
	}
	return ok
}

// reachedBefore reports whether the next attempt is an extra one: an endpoint may have received the
// request from this VM, or from another one that this VM sent it to.
func (c *call) reachedBefore() bool { return c.endpointsReached() > 0 || c.reachedByPeer }

// returnGrant returns the grant of an attempt that was not sent.
func (c *call) returnGrant() {
	if c.grant != nil {
		c.h.cfg.Budget.ReturnExtra(c.service, *c.grant)
		c.grant = nil
	}
}

// countFirst counts the request's first attempt, at the first of all VMs that sends it to an endpoint.
func (c *call) countFirst() {
	if !c.counted {
		c.counted = true
		c.h.cfg.Budget.RecordFirst(c.service)
	}
}
