package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"goldcrestfork/config"
)

const seed = 7

var start = time.Unix(1_700_000_000, 0)

// newMeasuredQueue returns a queue whose estimated service time is one second per unit.
func newMeasuredQueue(slots int) *Queue {
	q := New(Config{}, rand.New(rand.NewPCG(seed, 0)))
	q.SetCapacity(start, 1)
	it := item(0, "warm-up", config.ClassImmediate, time.Hour)
	q.Offer(start, it)
	q.Release(start, it, time.Second, 0)
	q.Forget("warm-up")
	q.SetCapacity(start, slots)
	return q
}

func item(id uint64, account string, class config.Class, within time.Duration) Item {
	return Item{ID: id, Account: account, Weight: 1, Class: class, Deadline: start.Add(within), Size: 1}
}

// TestWeights checks that two accounts with queued items get slots in proportion to their
// weights.
func TestWeights(t *testing.T) {
	q := newMeasuredQueue(1)
	for id := range uint64(80) {
		it := item(id, fmt.Sprint("a", id%2), config.ClassInteractive, time.Hour)
		it.Weight = float64(1 + 2*(id%2))
		q.Offer(start, it)
	}
	got := map[string]int{}
	last := Item{Account: "a0"} // the first one offered runs
	for range 40 {
		got[last.Account]++
		q.Release(start, last, 0, 0)
		last, _ = q.Next(start)
	}
	require.InDelta(t, 30, got["a1"], 1)
}

// TestStartOrder checks which queued item starts when a slot becomes free.
func TestStartOrder(t *testing.T) {
	cases := []struct {
		name  string
		items []Item
		want  uint64
	}{
		{"class first", []Item{
			item(1, "a", config.ClassDeferrable, time.Hour),
			item(2, "b", config.ClassInteractive, time.Hour),
			item(3, "c", config.ClassImmediate, time.Hour),
		}, 3},
		{"short overtakes long of its account", []Item{
			sized(item(1, "a", config.ClassInteractive, time.Hour), 20),
			sized(item(2, "a", config.ClassInteractive, time.Hour), 1),
		}, 2},
		{"another account before the running account", []Item{
			item(1, "running", config.ClassInteractive, time.Hour),
			item(2, "b", config.ClassInteractive, time.Hour),
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newMeasuredQueue(1)
			first := sized(item(99, "running", config.ClassInteractive, time.Hour), 5)
			require.Equal(t, Run, q.Offer(start, first).Outcome)
			for _, it := range c.items {
				require.Equal(t, Queued, q.Offer(start, it).Outcome)
			}
			q.Release(start, first, 0, 0)
			got, ok := q.Next(start)
			require.True(t, ok)
			require.Equal(t, c.want, got.ID)
		})
	}
}

func sized(it Item, size float64) Item {
	it.Size = size
	return it
}

// TestReserves checks which requests may take the last free slots of ten while two
// accounts are active and one of them did nearly all of the recent work.
func TestReserves(t *testing.T) {
	cases := []struct {
		account string
		class   config.Class
		running int // maximum number of running requests beside which it starts
	}{
		{"quiet", config.ClassImmediate, 9},
		{"quiet", config.ClassInteractive, 8},
		{"hot", config.ClassImmediate, 6},
	}
	for _, c := range cases {
		for running := 5; running < 10; running++ {
			q := newMeasuredQueue(10)
			for id := range uint64(60) {
				account := "hot"
				if id%20 == 0 {
					account = "quiet"
				}
				it := item(id, account, config.ClassImmediate, time.Hour)
				q.Offer(start, it)
				q.Release(start, it, 0, 0)
			}
			q.Refused(start.Add(checkInterval))
			for id := range uint64(running) {
				q.SetCapacity(start, 1000)
				require.Equal(t, Run, q.Offer(start, item(100+id, "quiet", config.ClassImmediate, time.Hour)).Outcome)
				q.SetCapacity(start, 10)
			}
			got := q.Offer(start, item(200, c.account, c.class, time.Hour)).Outcome
			require.Equal(t, running <= c.running, got == Run, "%+v beside %d", c, running)
		}
	}
}

// TestDeferrableFloor guards against starvation: immediate requests of ten accounts
// arrive for longer than a deferrable request may wait, which must still start in time.
func TestDeferrableFloor(t *testing.T) {
	q := newMeasuredQueue(1)
	now := start
	flood := func(id uint64) Item {
		return item(id, fmt.Sprint("flood", id%10), config.ClassImmediate, time.Hour)
	}
	running := flood(1)
	q.Offer(now, running)
	q.Offer(now, item(2, "weekly", config.ClassDeferrable, 30*time.Second))
	for id := uint64(3); id < 40; id++ {
		now = now.Add(time.Second)
		q.Offer(now, flood(id))
		q.Release(now, running, time.Second, 0)
		require.Empty(t, q.Refused(now))
		running, _ = q.Next(now)
		if running.ID == 2 {
			return
		}
	}
	t.Fatal("the deferrable item never started")
}

// TestRefusedAsSoonAsKnown checks that a request that cannot complete is refused on
// arrival, or as soon as this becomes known, with a retry time.
func TestRefusedAsSoonAsKnown(t *testing.T) {
	t.Run("on arrival, behind the backlog", func(t *testing.T) {
		q := newMeasuredQueue(1)
		for id := range uint64(30) {
			q.Offer(start, item(id, "a", config.ClassInteractive, time.Minute))
		}
		v := q.Offer(start, item(99, "a", config.ClassInteractive, 10*time.Second))
		require.Equal(t, Refused, v.Outcome)
		require.Equal(t, ReasonDeadline, v.Reason)
		require.Greater(t, v.RetryAfter, 10*time.Second)
	})
	t.Run("no endpoint left", func(t *testing.T) {
		q := newMeasuredQueue(1)
		q.Offer(start, item(1, "a", config.ClassInteractive, time.Minute))
		q.Offer(start, item(2, "a", config.ClassInteractive, time.Minute))
		q.SetCapacity(start, 0)
		got := q.Refused(start)
		require.Len(t, got, 1)
		require.Equal(t, ReasonNoCapacity, got[0].Reason)
		require.Positive(t, got[0].RetryAfter)
		require.Equal(t, ReasonNoCapacity, q.Offer(start, item(3, "a", 0, time.Minute)).Reason)
	})
	t.Run("endpoints became slow", func(t *testing.T) {
		q := newMeasuredQueue(1)
		for id := range uint64(20) {
			q.Offer(start, item(id, "a", config.ClassInteractive, 30*time.Second))
		}
		now := start.Add(10 * time.Second)
		q.Release(now, item(0, "a", config.ClassInteractive, 0), 10*time.Second, 0)
		require.NotEmpty(t, q.Refused(now))
	})
	t.Run("it would make an accepted item late", func(t *testing.T) {
		q := newMeasuredQueue(1)
		q.Offer(start, item(1, "a", config.ClassInteractive, time.Hour))
		long := sized(item(2, "a", config.ClassInteractive, 25*time.Second), 20)
		require.Equal(t, Queued, q.Offer(start, long).Outcome)
		short := sized(item(3, "a", config.ClassInteractive, time.Minute), 8)
		require.Equal(t, Refused, q.Offer(start, short).Outcome)
	})
	t.Run("an idle pool accepts despite its estimate", func(t *testing.T) {
		q := newMeasuredQueue(1)
		require.Equal(t, Run, q.Offer(start, sized(item(1, "a", 0, time.Second), 100)).Outcome)
	})
	t.Run("no answer yet", func(t *testing.T) {
		q := New(Config{}, rand.New(rand.NewPCG(seed, 0)))
		q.SetCapacity(start, 1)
		require.Equal(t, Run, q.Offer(start, sized(item(1, "a", 0, time.Second), 4096)).Outcome)
	})
}

// TestRetryAfterSpread checks that callers refused at the same moment get retry times
// that are spread out.
func TestRetryAfterSpread(t *testing.T) {
	q := newMeasuredQueue(4)
	for id := range uint64(100) {
		q.Offer(start, item(id, "a", config.ClassInteractive, 20*time.Second))
	}
	perSecond := map[int]int{}
	for id := range uint64(40) {
		v := q.Offer(start, item(1000+id, "a", config.ClassInteractive, time.Second))
		require.Equal(t, Refused, v.Outcome)
		require.LessOrEqual(t, v.RetryAfter, maxRetryAfter*5/4)
		perSecond[int(v.RetryAfter.Seconds())]++
	}
	for _, n := range perSecond {
		require.LessOrEqual(t, n, 4, "at most the work of all slots in one second")
	}
}

// lowest returns the item with the lowest ID, so that a failing case can be replayed.
func lowest(items map[uint64]Item) (Item, bool) {
	ids := slices.Sorted(maps.Keys(items))
	if len(ids) == 0 {
		return Item{}, false
	}
	return items[ids[0]], true
}

// TestEachItemEndsOnce checks that under any sequence of calls each item is run, refused
// or removed exactly once, and that no more items run than there are slots.
func TestEachItemEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxItems: 8}, rand.New(rand.NewPCG(seed, 0)))
		now, slots := start, rapid.IntRange(1, 4).Draw(t, "slots")
		q.SetCapacity(now, slots)
		open := map[uint64]Item{} // queued
		running := map[uint64]Item{}
		run := func(it Item) {
			delete(open, it.ID)
			running[it.ID] = it
			require.LessOrEqual(t, len(running), 4)
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				it := item(id, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "account")), config.Class(rapid.IntRange(0, 2).Draw(t, "class")), 0)
				it.Size = rapid.Float64Range(0.1, 20).Draw(t, "size")
				it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second)
				switch q.Offer(now, it).Outcome {
				case Run:
					run(it)
				case Queued:
					open[it.ID] = it
				}
			case 3:
				if it, ok := lowest(running); ok {
					delete(running, it.ID)
					if rapid.Bool().Draw(t, "back") {
						open[it.ID] = it
						q.PutBack(now, it)
					} else {
						q.Release(now, it, time.Duration(it.Size*float64(time.Second)), it.Size)
					}
				}
			case 4:
				if it, ok := lowest(open); ok {
					require.True(t, q.Remove(it))
					delete(open, it.ID)
				}
			case 5:
				q.SetCapacity(now, rapid.IntRange(0, 4).Draw(t, "slots"))
			}
			for it, ok := q.Next(now); ok; it, ok = q.Next(now) {
				require.Contains(t, open, it.ID)
				run(it)
			}
			for _, r := range q.Refused(now) {
				require.Contains(t, open, r.Item.ID)
				require.Positive(t, r.RetryAfter)
				delete(open, r.Item.ID)
			}
			waiting, held := q.Len()
			require.Equal(t, len(open), waiting)
			require.Equal(t, len(running), held)
		}
	})
}
