package bill

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"goldcrestfork/durable"
)

// clockSlack is by how much another VM's clock may be ahead of the reader's.
const clockSlack = 2 * time.Minute

// minuteSums is the value of the object with a minute's sums.
type minuteSums struct {
	// Done is false in a marker, which a reader writes before it sums the minute up; see
	// Reader.aggregate.
	Done bool `cbor:"1,keyasint"`
	Sums Sums `cbor:"2,keyasint"`
}

// Reader sums up bills. Any number of VMs may read at any time.
type Reader struct {
	store durable.Store
}

// NewReader returns a reader of the store's bills.
func NewReader(store durable.Store) *Reader { return &Reader{store: store} }

// Day returns the sums of the UTC day that contains t. It stores the sums of minutes that are
// old enough.
func (r *Reader) Day(ctx context.Context, t time.Time) (Sums, error) {
	start := t.UTC().Truncate(day)
	listing, err := r.store.List(ctx, sumsKind(start))
	if err != nil {
		return Sums{}, trace.Wrap(err)
	}
	stored := map[string]durable.Object{}
	for _, o := range listing.Objects {
		stored[o.Name] = o
	}
	total := newTally()
	now := time.Now()
	end := start.Add(day)
	if ahead := now.Add(clockSlack); ahead.Before(end) {
		end = ahead
	}
	for minute := start; minute.Before(end); minute = minute.Add(time.Minute) {
		sums, err := r.minute(ctx, minute, stored[sumsName(minute)], now)
		if err != nil {
			return Sums{}, trace.Wrap(err)
		}
		total.merge(sums)
	}
	return total.sums(), nil
}

// minute returns a minute's sums: those in the object stored, or else new ones. stored is empty if
// the minute was not summed up yet.
func (r *Reader) minute(ctx context.Context, minute time.Time, stored durable.Object, now time.Time) (Sums, error) {
	var f minuteSums
	if stored.Version != 0 {
		if err := cbor.Unmarshal(stored.Value, &f); err != nil {
			return Sums{}, err
		}
	}
	if f.Done {
		return f.Sums, nil
	}
	if now.Sub(minute) < aggregateAfter {
		return r.sumBatches(ctx, minute)
	}
	return r.aggregate(ctx, minute, stored.Version)
}

// sumBatches returns the sums of a minute's batches; each request counts once.
func (r *Reader) sumBatches(ctx context.Context, minute time.Time) (Sums, error) {
	listing, err := r.store.List(ctx, minuteKind(minute))
	if err != nil {
		return Sums{}, err
	}
	t := newTally()
	for _, o := range listing.Objects {
		var bills []Bill
		if err := cbor.Unmarshal(o.Value, &bills); err != nil {
			return Sums{}, err
		}
		for _, b := range bills {
			t.add(b)
		}
	}
	return t.sums(), nil
}

// aggregate sums up a minute and stores the sums. It first writes an object without sums as a
// marker, then lists the batches, and then replaces the marker conditionally. The write of a
// late batch is followed by the deletion of the minute's sums or marker. So either the listing
// contains the batch, or the marker is gone and the sums are not stored.
func (r *Reader) aggregate(ctx context.Context, minute time.Time, version int64) (Sums, error) {
	key := durable.Key{Kind: sumsKind(minute), Name: sumsName(minute)}
	marker, err := cbor.Marshal(minuteSums{})
	if err != nil {
		return Sums{}, err
	}
	marked, markErr := r.store.Put(ctx, key, marker, version)
	sums, err := r.sumBatches(ctx, minute)
	if err != nil || markErr != nil {
		// Another reader is summing up the minute, or it is unknown whether the marker was
		// written. The sums are correct now, but are not stored.
		return sums, err
	}
	done, err := cbor.Marshal(minuteSums{Done: true, Sums: sums})
	if err != nil {
		return Sums{}, err
	}
	// If this write fails, the marker stays until the next reader replaces it.
	_, _ = r.store.Put(ctx, key, done, marked.Version)
	return sums, nil
}

// deleteSums deletes a minute's sums or marker.
func deleteSums(ctx context.Context, store durable.Store, minute time.Time) error {
	key := durable.Key{Kind: sumsKind(minute), Name: sumsName(minute)}
	for {
		o, err := store.Get(ctx, key)
		if errors.Is(err, durable.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		err = store.Delete(ctx, key, o.Version)
		if !errors.Is(err, durable.ErrConflict) {
			if errors.Is(err, durable.ErrNotFound) {
				return nil
			}
			return err
		}
	}
}

// ErrDayIncomplete reports that batches of the day may still be written.
var ErrDayIncomplete = errors.New("the day's bills may not be complete yet")

// Purge deletes the batches of a day's minutes that are summed up. It returns ErrDayIncomplete
// for a day to which a spool may still add batches.
func (r *Reader) Purge(ctx context.Context, t time.Time) error {
	if time.Since(t.UTC().Truncate(day)) < day+maxBatchAge+time.Hour {
		return ErrDayIncomplete
	}
	listing, err := r.store.List(ctx, sumsKind(t))
	if err != nil {
		return trace.Wrap(err)
	}
	start := t.UTC().Truncate(day)
	for _, o := range listing.Objects {
		var f minuteSums
		if cbor.Unmarshal(o.Value, &f) != nil || !f.Done {
			continue
		}
		clock, err := time.Parse("1504", o.Name)
		if err != nil {
			continue
		}
		minute := start.Add(time.Duration(clock.Hour())*time.Hour + time.Duration(clock.Minute())*time.Minute)
		if err := r.purgeMinute(ctx, minute); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (r *Reader) purgeMinute(ctx context.Context, minute time.Time) error {
	listing, err := r.store.List(ctx, minuteKind(minute))
	if err != nil {
		return err
	}
	for _, o := range listing.Objects {
		if err := r.store.Delete(ctx, o.Key, o.Version); err != nil {
			return err
		}
	}
	return nil
}

// tally sums up bills and records the requests that it has counted.
type tally struct {
	rows       map[[2]string]Row
	seen       map[[2]string]struct{}
	duplicates int64
}

func newTally() *tally {
	return &tally{rows: map[[2]string]Row{}, seen: map[[2]string]struct{}{}}
}

func (t *tally) add(b Bill) {
	id := [2]string{b.Account, b.Request}
	if _, ok := t.seen[id]; ok {
		t.duplicates++
		return
	}
	t.seen[id] = struct{}{}
	t.addRow(Row{
		Account: b.Account, Version: b.Version, Requests: 1,
		InputTokens: b.InputTokens, OutputTokens: b.OutputTokens, Micros: b.Micros,
	})
}

func (t *tally) addRow(r Row) {
	id := [2]string{r.Account, r.Version}
	sum := t.rows[id]
	sum.Account, sum.Version = r.Account, r.Version
	sum.Requests += r.Requests
	sum.InputTokens += r.InputTokens
	sum.OutputTokens += r.OutputTokens
	sum.Micros += r.Micros
	t.rows[id] = sum
}

func (t *tally) merge(s Sums) {
	for _, r := range s.Rows {
		t.addRow(r)
	}
	t.duplicates += s.Duplicates
}

func (t *tally) sums() Sums {
	out := Sums{Duplicates: t.duplicates}
	for _, r := range t.rows {
		out.Rows = append(out.Rows, r)
	}
	slices.SortFunc(out.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Version, b.Version))
	})
	return out
}
