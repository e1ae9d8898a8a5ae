package ledger

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/durable"
)

// Sweep deletes the segments that no head refers to or will refer to, and returns their number.
// A VM that crashes between writing a segment and the head leaves such a segment behind, and so
// does a failed deletion. Any VM may sweep at any time: the name of a segment contains the head
// version that it seals, and only a write at that version can refer to it, so it is garbage
// once the head has another version.
func (l *Ledger) Sweep(ctx context.Context) (int, error) {
	listing, err := l.store.List(ctx, objectKind)
	if err != nil {
		return 0, err
	}
	versions, named, err := collectHeads(listing.Objects)
	if err != nil {
		return 0, err
	}
	swept := 0
	for _, o := range listing.Objects {
		shard, sealed, ok := parseSegmentName(o.Name)
		if !ok || named[o.Name] || versions[shard] <= sealed {
			continue
		}
		err := l.store.Delete(ctx, o.Key, o.Version)
		if errors.Is(err, durable.ErrNotFound) {
			continue // another VM has deleted it
		}
		if err != nil {
			return swept, err
		}
		swept++
	}
	return swept, nil
}

// collectHeads returns the version of each shard's head, and the names of the segments in use.
// The listing is consistent, so it contains the newest segment of each head.
func collectHeads(objects []durable.Object) (versions map[string]int64, named map[string]bool, err error) {
	versions, named = map[string]int64{}, map[string]bool{}
	for _, o := range objects {
		if strings.Contains(o.Name, ".") {
			continue
		}
		var h head
		if err := cbor.Unmarshal(o.Value, &h); err != nil {
			return nil, nil, err
		}
		versions[o.Name] = o.Version
		named[h.Newest] = true
	}
	heads := maps.Clone(named)
	for _, o := range objects {
		if !heads[o.Name] {
			continue
		}
		var x segment
		if err := cbor.Unmarshal(o.Value, &x); err != nil {
			return nil, nil, err
		}
		for _, ref := range x.Older {
			named[ref.Name] = true
		}
	}
	return versions, named, nil
}

// parseSegmentName returns the shard in a segment's name and the head version that it seals.
func parseSegmentName(name string) (shard string, sealed int64, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) < 2 {
		return "", 0, false
	}
	sealed, err := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], sealed, err == nil
}
