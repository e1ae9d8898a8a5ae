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

// clockSlack is how far another VM's clock may be ahead of the reader's.
const clockSlack = 2 * time.Minute

// fold is the value of a minute's sums.
type fold struct {
	// Done is false while a reader is summing up; see Reader.fold.
	Done bool `cbor:"1,keyasint"`
	Sums Sums `cbor:"2,keyasint"`
}

// Reader sums bills up. Any VM may read at any time.
type Reader struct {
	store durable.Store
}

// NewReader returns a reader of the store's bills.
func NewReader(store durable.Store) *Reader { return &Reader{store: store} }

// Day gives the sums of the day, in UTC, that t lies in. Minutes that are old
// enough are summed up once and for all on the way.
func (r *Reader) Day(ctx context.Context, t time.Time) (Sums, error) {
	start := t.UTC().Truncate(day)
	listing, err := r.store.List(ctx, sumsKind(start))
	if err != nil {
		return Sums{}, trace.Wrap(err)
	}
	folds := map[string]durable.Object{}
	for _, o := range listing.Objects {
		folds[o.Name] = o
	}
	total := newTally()
	now := time.Now()
	end := start.Add(day)
	if ahead := now.Add(clockSlack); ahead.Before(end) {
		end = ahead
	}
	for minute := start; minute.Before(end); minute = minute.Add(time.Minute) {
		sums, err := r.minute(ctx, minute, folds[sumsName(minute)], now)
		if err != nil {
			return Sums{}, trace.Wrap(err)
		}
		total.merge(sums)
	}
	return total.sums(), nil
}

// minute gives a minute's sums, from its fold if there is one.
func (r *Reader) minute(ctx context.Context, minute time.Time, at durable.Object, now time.Time) (Sums, error) {
	var f fold
	if at.Version != 0 {
		if err := cbor.Unmarshal(at.Value, &f); err != nil {
			return Sums{}, err
		}
	}
	if f.Done {
		return f.Sums, nil
	}
	if now.Sub(minute) < foldAfter {
		return r.raw(ctx, minute)
	}
	return r.fold(ctx, minute, at.Version)
}

// raw sums up the batches of a minute; each request counts once.
func (r *Reader) raw(ctx context.Context, minute time.Time) (Sums, error) {
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

// fold sums a minute up for good. A mark goes first, the list after it, and the
// sums replace the mark conditionally. A batch that comes late takes the minute's
// sums away after it is written: so either the list has the batch, or the mark
// is gone and the sums are not written.
func (r *Reader) fold(ctx context.Context, minute time.Time, at int64) (Sums, error) {
	key := durable.Key{Kind: sumsKind(minute), Name: sumsName(minute)}
	mark, err := cbor.Marshal(fold{})
	if err != nil {
		return Sums{}, err
	}
	marked, markErr := r.store.Put(ctx, key, mark, at)
	sums, err := r.raw(ctx, minute)
	if err != nil || markErr != nil {
		// Another reader is at it, or the mark's fate is unknown: the sums are
		// true for now, and not kept.
		return sums, err
	}
	done, err := cbor.Marshal(fold{Done: true, Sums: sums})
	if err != nil {
		return Sums{}, err
	}
	// A failure leaves the mark, which the next reader replaces.
	_, _ = r.store.Put(ctx, key, done, marked.Version)
	return sums, nil
}

// dropSums takes a minute's sums or mark away.
func dropSums(ctx context.Context, store durable.Store, minute time.Time) error {
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

// ErrTooYoung: batches of the day may still come.
var ErrTooYoung = errors.New("the day's bills may not be complete yet")

// Purge deletes the batches of a day's minutes that are summed up. It refuses a
// day to which a spool may still add.
func (r *Reader) Purge(ctx context.Context, t time.Time) error {
	if time.Since(t.UTC().Truncate(day)) < day+tooLate+time.Hour {
		return ErrTooYoung
	}
	listing, err := r.store.List(ctx, sumsKind(t))
	if err != nil {
		return trace.Wrap(err)
	}
	start := t.UTC().Truncate(day)
	for _, o := range listing.Objects {
		var f fold
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

// tally sums bills and knows the requests that it has seen.
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
