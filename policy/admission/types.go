package admission

import (
	"time"

	"goldcrestfork/config"
)

// Item is one request in the queue.
type Item struct {
	// ID is assigned by the caller of the package. Value is returned unchanged.
	ID    uint64
	Value any
	// Account is the client account. Weight is its share relative to other accounts; 0
	// counts as 1.
	Account string
	Weight  float64
	Class   config.Class
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Size is the expected work, in a unit that is the same for all items of the queue.
	// Zero and negative values count as 1.
	Size float64
}

// Outcome is the result of an offer.
type Outcome int

// The outcomes of an offer.
const (
	// Run means that the item is to be dispatched now. It holds a slot until Release or
	// PutBack.
	Run Outcome = iota
	// Queued means that a later call of Next or Refused returns the item.
	Queued
	// Refused means that the item is not run and not queued.
	Refused
)

// Reason is the reason for a refusal.
type Reason string

// The reasons of a refusal.
const (
	// ReasonDeadline means that the item cannot complete by its deadline, given the
	// backlog ahead of it.
	ReasonDeadline Reason = "deadline"
	// ReasonFull means that the queue holds its maximum number of items.
	ReasonFull Reason = "queue-full"
	// ReasonNoCapacity means that no endpoint of the pool accepts work.
	ReasonNoCapacity Reason = "no-capacity"
	// ReasonPoolFailing means that nearly all answers of the pool fail.
	ReasonPoolFailing Reason = "pool-failing"
	// ReasonShare means that the account's share of the capacity is used up.
	ReasonShare Reason = "over-share"
)

// Verdict is the answer to an offer.
type Verdict struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which the caller may retry. It is set for refused
	// items.
	RetryAfter time.Duration
}

// Refusal is the final answer to an item that was queued and is then refused.
type Refusal struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration
}

// Config configures a queue. The zero value of a field selects its default.
type Config struct {
	// SecondsPerUnit is the assumed service time of one unit of work until the first
	// answer. The default, 0, means unknown: no item is refused for its deadline.
	SecondsPerUnit float64
	// MaxItems is the maximum number of queued items. The default is 4096: at 32 KB a
	// request, this is half of the 256 MB that a VM may use.
	MaxItems int
	// Reserve is the share of slots that accounts above their share leave free while
	// other accounts are active, in addition to ImmediateReserve. The default is 0.15; a
	// negative value reserves none.
	Reserve float64
	// ImmediateReserve is the share of slots, rounded, that lower classes leave free
	// while immediate requests arrive. The default is 0.05; a negative value reserves
	// none.
	ImmediateReserve float64
	// ShortFirst is the number of its own service times by which an item is delayed in
	// favour of shorter items that arrive later. The default is 1; a negative value gives
	// first in, first out within an account.
	ShortFirst float64
}

const (
	defaultMaxItems = 4096
	// defaultReserve leaves two of 12 slots free, or four of 27. A batch takes 1.15 times
	// as long at 85% of its slots as at 60%, and 1.25 times as long at all of them. With
	// 0.1, a hot account raises the p99 of the other accounts to 1.19 times its normal
	// value, with 0.15 to 1.16 times.
	defaultReserve = 0.15
	// defaultImmediateReserve leaves one of 12 or 27 slots free. Compared with 0,
	// immediate requests take a fifth less time at twice the capacity (p50 0.40 s instead
	// of 0.49 s), for 2% of the goodput. With 0.1, goodput can fall below 95%.
	defaultImmediateReserve = 0.05
	// defaultShortFirst lets the lookups that arrive within 20 s after a report of 20 s
	// overtake it, and no later ones, so that they cannot starve it. From 1 on, fewer
	// requests are refused at twice the capacity; with more than 1 (3 or 6), fewer are
	// completed in a burst.
	defaultShortFirst = 1.0
)

func (c Config) withDefaults() Config {
	if c.MaxItems <= 0 {
		c.MaxItems = defaultMaxItems
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	if c.ShortFirst == 0 {
		c.ShortFirst = defaultShortFirst
	}
	if c.ImmediateReserve == 0 {
		c.ImmediateReserve = defaultImmediateReserve
	}
	c.ImmediateReserve = max(c.ImmediateReserve, 0)
	c.Reserve = max(c.Reserve, 0)
	c.ShortFirst = max(c.ShortFirst, 0)
	return c
}

// classes is the number of priority classes.
const classes = int(config.ClassDeferrable) + 1

// classFloors are the shares of work that a class gets before higher classes when its
// items would otherwise miss their deadlines. Together they leave 80% to immediate
// requests. With 20% for interactive requests, more immediate requests are refused in a
// burst (4.9% instead of 3.2%), and no more interactive requests complete overall.
var classFloors = [classes]float64{0, 0.1, 0.1}
