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

// Sweep deletes the segments that no head names and none ever will, and gives
// their number. Such garbage is left by a VM that dies between a seal and its
// head's write, and by a deletion that failed. Any VM may sweep at any time:
// a segment is named after the head version that it seals, and only a write at
// that version can name it, so once the head is at another the segment is dead.
func (l *Ledger) Sweep(ctx context.Context) (int, error) {
	listing, err := l.store.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	versions, named, err := headsIn(listing.Objects)
	if err != nil {
		return 0, err
	}
	swept := 0
	for _, o := range listing.Objects {
		shard, sealed, ok := parseSegment(o.Name)
		if !ok || named[o.Name] || versions[shard] <= sealed {
			continue
		}
		err := l.store.Delete(ctx, o.Key, o.Version)
		if errors.Is(err, durable.ErrNotFound) {
			continue // another VM was first
		}
		if err != nil {
			return swept, err
		}
		swept++
	}
	return swept, nil
}

// headsIn gives the version of each shard's head and the segments in use. The
// list is consistent, so that a head's newest segment is in it.
func headsIn(objects []durable.Object) (versions map[string]int64, named map[string]bool, err error) {
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

// parseSegment reads a segment's shard and the head version that it seals.
func parseSegment(name string) (shard string, sealed int64, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) < 2 {
		return "", 0, false
	}
	sealed, err := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], sealed, err == nil
}
