package poison

import (
	"fmt"
	"testing"
)

// BenchmarkQuarantined measures the check made for each request, with an empty table and
// with a table full of suspects.
func BenchmarkQuarantined(b *testing.B) {
	for _, records := range []int{0, maxRecords} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			t, next := New(9), Fingerprint(0)
			for range records / 16 {
				t.RecordCrash(start, "e0", newFingerprints(&next, 16), 0)
			}
			f := Fingerprint(0)
			b.ReportAllocs()
			for b.Loop() {
				f++
				t.IsQuarantined(start, f%maxRecords)
			}
		})
	}
}
