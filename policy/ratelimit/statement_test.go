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
