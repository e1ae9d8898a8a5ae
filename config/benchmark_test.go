package config

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// BenchmarkRoot gives the root's size and the time to encode, decode and validate
// it, at three sizes; docs/capacity/configuration.md works from its slopes.
func BenchmarkRoot(b *testing.B) {
	for _, endpoints := range []int{500, 2000, 8000} {
		s := sized(endpoints)
		r := root{Format: format, Snapshot: s}
		for range historyLength {
			r.accept(fmt.Sprintf("0198c0de-%04x-7000-8000-%012x", s.Revision, s.Revision*7919))
		}
		raw, err := cbor.Marshal(&r)
		require.NoError(b, err)
		encoded, err := r.encode()
		require.NoError(b, err)
		b.Run(fmt.Sprintf("encode/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				_, _ = r.encode()
			}
			b.ReportMetric(float64(len(raw)), "raw-bytes")
			b.ReportMetric(float64(len(encoded)), "root-bytes")
		})
		b.Run(fmt.Sprintf("decode/endpoints=%d", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = decodeRoot(encoded)
			}
		})
		b.Run(fmt.Sprintf("validate/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				Validate(s)
			}
		})
	}
}
