package bill

import (
	"fmt"
	"time"
)

// Bill is the usage and the cost of one request.
type Bill struct {
	// Account is the client account and Request the request's ID within it. Together they
	// identify the bill, whichever VM or attempt writes it.
	Account string `cbor:"1,keyasint"`
	Request string `cbor:"2,keyasint"`
	// Accepted is the time at which the request was first accepted. All VMs that may bill the
	// request must use the same minute.
	Accepted time.Time `cbor:"3,keyasint"`
	// Version is the model version that answered.
	Version string `cbor:"4,keyasint"`
	// InputTokens and OutputTokens are the totals of all attempts of the request.
	InputTokens  int64 `cbor:"5,keyasint,omitempty"`
	OutputTokens int64 `cbor:"6,keyasint,omitempty"`
	// Micros is the cost in millionths of the account's currency.
	Micros int64 `cbor:"7,keyasint,omitempty"`
}

// Row is the sum of the bills of one account and model version.
type Row struct {
	Account      string `cbor:"1,keyasint"`
	Version      string `cbor:"2,keyasint"`
	Requests     int64  `cbor:"3,keyasint"` // number of bills, each request counted once
	InputTokens  int64  `cbor:"4,keyasint"`
	OutputTokens int64  `cbor:"5,keyasint"`
	Micros       int64  `cbor:"6,keyasint"` // millionths of the account's currency
}

// Sums are the sums of the bills of a minute or a day.
type Sums struct {
	Rows []Row `cbor:"1,keyasint"` // sorted by account and version
	// Duplicates is the number of bills that were left out because their request had been billed
	// already.
	Duplicates int64 `cbor:"2,keyasint"`
}

const day = 24 * time.Hour

// minuteKind returns the platform's kind of the batches with bills that were accepted in t's
// minute.
func minuteKind(t time.Time) string { return "bills-" + t.UTC().Format("200601021504") }

// sumsKind returns the platform's kind of a day's sums; the objects' names are the minutes.
func sumsKind(t time.Time) string { return "billsums-" + t.UTC().Format("20060102") }

func sumsName(t time.Time) string { return t.UTC().Format("1504") }

// FlushInterval returns the interval at which each of vms VMs should write its bills. A flush
// takes about two writes, since its requests usually come from two minutes. With 50 writes/s
// for bills, a sixth of the ledger's rate, the interval is vms/25 seconds. It is at least five
// seconds; a crash loses the bills of up to one interval.
func FlushInterval(vms int) time.Duration {
	return max(minFlushInterval, time.Duration(vms)*flushIntervalPerVM)
}

const (
	minFlushInterval   = 5 * time.Second
	flushIntervalPerVM = 40 * time.Millisecond
)

// batch is one object to be written. Its name identifies the VM, the incarnation and the batch.
type batch struct {
	Minute time.Time `cbor:"1,keyasint"`
	Name   string    `cbor:"2,keyasint"`
	Value  []byte    `cbor:"3,keyasint"`
	Bills  int       `cbor:"4,keyasint"` // number of bills in Value
}

func batchName(vm string, incarnation, number uint64) string {
	return fmt.Sprintf("%s.%d.%d", vm, incarnation, number)
}
