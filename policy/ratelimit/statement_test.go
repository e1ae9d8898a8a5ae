package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1e9, 0)

// Guards against a limit that ends by an answer which the endpoint gave before it stated the limit.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	s, changed := Statement{}.Next(start, 1)
	require.True(t, changed)
	s, ended := s.End(start.Add(2*time.Second), start.Add(-time.Millisecond))
	require.False(t, ended)
	require.True(t, s.Limited)
	s, changed = s.Next(start.Add(3*time.Second), 1)
	require.False(t, changed)
	s, ended = s.End(start.Add(5*time.Second), start.Add(4*time.Second))
	require.True(t, ended)
	require.False(t, s.Limited)
}

// Guards against a statement that stays new for ever because VMs pass it to and fro.
func TestStatementDoesNotGetYoungerBetweenVMs(t *testing.T) {
	const delay = 2 * time.Millisecond
	first, _ := Statement{}.Next(start, 1)
	a, b := first, Statement{}
	now := start
	for range 100 {
		now = now.Add(400 * time.Millisecond)
		b, _ = b.Merge(Statement{Rate: a.Rate, Limited: a.Limited, At: a.At.Add(delay)})
		a, _ = a.Merge(Statement{Rate: b.Rate, Limited: b.Limited, At: b.At.Add(delay)})
	}
	require.Equal(t, first.At, a.At)
	require.True(t, b.Limited)
	ended, changed := b.Merge(Statement{At: now})
	require.True(t, changed)
	require.False(t, ended.Limited)
	_, changed = ended.Merge(first)
	require.False(t, changed, "an older statement")
}
