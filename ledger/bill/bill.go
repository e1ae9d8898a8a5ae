package bill

import (
	"fmt"
	"time"
)

// Bill is what one request cost.
type Bill struct {
	// Account is the client account, Request the request's ID within it; together
	// they are the bill's identity, whatever VM or attempt writes it.
	Account string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
	// Accepted is when the request was first accepted; every VM that may bill the
	// request must give the same minute.
	Accepted time.Time `cbor:"3,keyasint"`
	// Version is the model version that answered.
	Version string `cbor:"4,keyasint"`
	// InputTokens and OutputTokens are those of the whole request, all attempts together.
	InputTokens  int64 `cbor:"5,keyasint,omitempty"`
	OutputTokens int64 `cbor:"6,keyasint,omitempty"`
	// Micros is the cost in millionths of the account's currency.
	Micros int64 `cbor:"7,keyasint,omitempty"`
}

// Row sums the bills of one account and version.
type Row struct {
	Account      string `cbor:"1,keyasint"`
	Version      string `cbor:"2,keyasint"`
	Requests     int64  `cbor:"3,keyasint"`
	InputTokens  int64  `cbor:"4,keyasint"`
	OutputTokens int64  `cbor:"5,keyasint"`
	Micros       int64  `cbor:"6,keyasint"`
}

// Sums is what a minute or a day cost.
type Sums struct {
	Rows []Row `cbor:"1,keyasint"` // by account and version
	// Duplicates is the number of bills left out because their request was billed already.
	Duplicates int64 `cbor:"2,keyasint"`
}

const day = 24 * time.Hour

// minuteKind is the kind of the batches of bills accepted in a minute.
func minuteKind(t time.Time) string { return "bills-" + t.UTC().Format("200601021504") }

// sumsKind is the kind of a day's sums; their names are the minutes.
func sumsKind(t time.Time) string { return "billsums-" + t.UTC().Format("20060102") }

func sumsName(t time.Time) string { return t.UTC().Format("1504") }

// FlushInterval gives how often each of vms VMs should write its bills.
// Batches cost about two writes a flush (requests of two minutes end together);
// at 50 writes/s for bills, a sixth of what the ledger takes, that is vms/25
// seconds, and at least five, which bounds what a crash loses.
func FlushInterval(vms int) time.Duration {
	return max(minFlush, time.Duration(vms)*flushPerVM)
}

const (
	minFlush   = 5 * time.Second
	flushPerVM = 40 * time.Millisecond
)

// batch is one object to be written: its name says whose it is.
type batch struct {
	Minute time.Time `cbor:"1,keyasint"`
	Name   string    `cbor:"2,keyasint"`
	Value  []byte    `cbor:"3,keyasint"`
	Bills  int       `cbor:"4,keyasint"`
}

func batchName(vm string, incarnation, number uint64) string {
	return fmt.Sprintf("%s.%d.%d", vm, incarnation, number)
}
