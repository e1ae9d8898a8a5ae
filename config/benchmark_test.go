package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"goldcrestfork/config/staleness"
	"goldcrestfork/standin/store"
)

// BenchmarkRoot measures the root's size and the time to encode, decode and validate it, at
// three sizes; docs/capacity/configuration.md uses the slopes.
func BenchmarkRoot(b *testing.B) {
	for _, endpoints := range []int{500, 2000, 8000} {
		s := sizedSnapshot(endpoints)
		r := root{Format: formatVersion, Snapshot: s}
		for range historyLength {
			r.accept(fmt.Sprintf("0198c0de-%04x-7000-8000-%012x", s.Revision, s.Revision*7919), nil)
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

// BenchmarkDelta measures the time to encode a delta of one change, and to apply it on another
// VM.
func BenchmarkDelta(b *testing.B) {
	for _, endpoints := range []int{500, 2000, 8000} {
		r := &root{Format: formatVersion, Snapshot: sizedSnapshot(endpoints)}
		r.Snapshot.Revision = 1_000_000
		old := &root{Format: formatVersion, Snapshot: r.Snapshot.shallowCopy()}
		require.NoError(b, applyAll(r.Snapshot, []Change{centre("dc-00")}))
		r.accept("0198c0de-0000-7000-8000-000000000000", nil)
		encoded, ok := r.encodeDelta(1_000_000)
		require.True(b, ok)
		b.Run(fmt.Sprintf("make/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				r.encodeDelta(1_000_000)
			}
			b.ReportMetric(float64(len(encoded)), "delta-bytes")
		})
		b.Run(fmt.Sprintf("apply/endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				_, err := old.applyDelta(encoded)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkLook measures the work of a follower in each followPeriod if nothing has changed.
func BenchmarkLook(b *testing.B) {
	for _, vms := range []int{7, 100, 400} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			m := newMesh(store.New(), vms, max(3, vms/21))
			v := m.vms[vms-1]
			for _, other := range m.vms {
				v.revisions[other.id] = 0
				v.cache.poller.reports[other.id] = staleness.Report{VM: other.id, DataCentre: other.centre, AskedAt: time.Now().Add(time.Hour)}
			}
			b.Run("request", func(b *testing.B) {
				v.cache.recordConfirmation(time.Now().Add(time.Hour))
				v.cache.evaluate(time.Now())
				b.ReportAllocs()
				for b.Loop() {
					v.cache.Staleness(time.Now())
				}
			})
			b.ReportAllocs()
			for b.Loop() {
				v.cache.chooseMode(time.Now())
				v.cache.follow(b.Context())
			}
		})
	}
}
