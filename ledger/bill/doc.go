// Package bill keeps one record for each request in the platform's object API.
//
// A Spool gathers bills in memory and writes them as immutable batches, whose
// names no other spool uses: writing one twice is writing it once. Bills are
// grouped by the minute in which their request was accepted, which travels with
// the request, so that two VMs which bill one request (a stream resumed
// elsewhere) do so within one minute, where a Reader finds the second.
//
// Lock order: Spool.sending, then Spool.mu.
package bill
