// Package bill keeps one billing record for each request in the platform's object API.
//
// A Spool collects bills in memory and writes them as immutable batches. No other spool uses a
// batch's name, so writing a batch twice has the effect of writing it once. Bills are grouped
// by the minute in which their request was accepted. This time travels with the request, so two
// VMs that bill the same request, such as a stream resumed on another VM, write to the same
// minute, where a Reader detects the duplicate.
//
// Lock order: Spool.sending, then Spool.mu.
package bill
