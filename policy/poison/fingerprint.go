package poison

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its account, target and body, or a part of prompts.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Equal bodies of different accounts or
// targets (models or services) have different fingerprints.
func NewFingerprint(account, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	for _, part := range [2]string{account, target} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// NewPart returns the fingerprint of a part of prompts, which requests may share.
func NewPart(id string) Fingerprint {
	return Fingerprint(xxhash.Sum64String(id))
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Join formats fingerprints as a list separated by spaces.
func Join(list []Fingerprint) string {
	var b strings.Builder
	for i, f := range list {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.String())
	}
	return b.String()
}
