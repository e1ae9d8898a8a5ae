package forward

import (
	"time"

	"goldcrestfork/gateway/catalog"
	"goldcrestfork/policy/pace"
	"goldcrestfork/policy/placement"
)

// answerProgress describes how the answer to one attempt arrives.
type answerProgress struct {
	head   time.Time // when the answer's head arrived, zero before
	last   time.Time // when the last event arrived
	events int       // events of a stream that arrived, whether they were passed on or not
	// paceEvents and paceSpan are the events from which the pace is known, at first all of them, and
	// the time that they took.
	paceEvents int
	paceSpan   time.Duration
	// paceCounted says that the pace was reported for the comparison of versions, and paceReported
	// that it was final.
	paceCounted, paceReported bool
}

// reset starts a new attempt.
func (p *answerProgress) reset() { *p = answerProgress{} }

// add counts events that arrived now.
func (p *answerProgress) add(events int, now time.Time) {
	if events == 0 {
		return
	}
	p.events += events
	p.last = now
	if p.paceEvents < pace.KnownEvents {
		p.paceEvents, p.paceSpan = p.events, now.Sub(p.head)
	}
}

// pace describes how the events have arrived.
func (p *answerProgress) pace() pace.Answer {
	return pace.Answer{Events: p.paceEvents, Span: p.paceSpan}
}

// reportAnswer reports the head of a stream, or another answer, for the comparison of versions.
func (c *call) reportAnswer(ch placement.Choice, answer pace.Answer) {
	if c.via == nil { // otherwise that VM reports it
		c.h.cfg.Versions.RecordAnswer(c.answerResult(ch, answer))
	}
}

// reportFailure reports an attempt that failed: its connection broke, or the endpoint failed it.
func (c *call) reportFailure(ch placement.Choice, broke bool) {
	if c.via == nil {
		a := c.answerResult(ch, pace.Answer{})
		a.Failed, a.Broke = true, broke
		c.h.cfg.Versions.RecordAnswer(a)
	}
}

// reportPace reports the events of a stream, of which more may come.
func (c *call) reportPace(ch placement.Choice, answer pace.Answer) {
	p := &c.answer
	if c.via != nil || p.paceReported {
		return
	}
	a := c.answerResult(ch, answer)
	a.Counted = p.paceCounted
	p.paceCounted = true
	p.paceReported = !answer.Arriving || answer.Events >= pace.KnownEvents
	if p.paceReported && !answer.Unfinished {
		c.h.cfg.Table.RecordPauses(time.Now(), ch, a.Kind(), answer.Events-1, answer.Span)
	}
	c.h.cfg.Versions.RecordPace(a)
}

// answerResult describes an answer to the current attempt.
func (c *call) answerResult(ch placement.Choice, answer pace.Answer) AnswerResult {
	answer.Work = ch.Ahead
	a := AnswerResult{
		Service: c.service, Version: ch.Version, Route: c.route.Name, Endpoint: ch.ID, Answer: answer,
		InFlight: c.statedLoad.inFlight(), Slots: c.statedLoad.slots,
	}
	if c.prompt.wildcard {
		a.Model = c.route.Models[c.sentModel]
	}
	return a
}

// reportGivenUp reports an attempt whose answer is no longer waited for: it took so long at least.
func (c *call) reportGivenUp(ch placement.Choice) {
	now := time.Now()
	switch head := c.answer.head; {
	case c.route.Kind != catalog.Streaming:
		c.reportAnswer(ch, pace.Answer{Whole: now.Sub(c.sentAt), Unfinished: true})
	case head.IsZero():
		c.reportAnswer(ch, pace.Answer{Head: now.Sub(c.sentAt), Unfinished: true})
	case !c.answer.paceCounted:
		c.reportPace(ch, pace.Answer{Events: c.answer.events, Span: now.Sub(head), Unfinished: true})
	}
}

// reportEvents reports the pace of a stream for the comparison of versions as soon as it is known, or
// very slow. A slow stream may last for the rest of a roll-out.
func (c *call) reportEvents(ch placement.Choice) {
	p := &c.answer
	if p.paceReported || c.via != nil {
		return
	}
	a := p.pace()
	a.Arriving = true
	if a.Events >= pace.KnownEvents || !p.paceCounted && c.h.cfg.Versions.VerySlow(c.answerResult(ch, a)) {
		c.reportPace(ch, a)
	}
}
