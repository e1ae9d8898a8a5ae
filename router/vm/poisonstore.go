package vm

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/router/dispatch"
)

const (
	// kindPoison groups the objects in which VMs keep crashes and what was decided by them, one a VM, for
	// VMs that start after all others have ended and for those that hear no other one.
	kindPoison = "poison"
	// poisonStoreInterval is the pause between two writes, and between two reads of a VM that doesn't hear
	// all others.
	poisonStoreInterval = time.Second
	// poisonWriters is the number of VMs that write while all hear each other.
	poisonWriters = 2
	// poisonLifetime is the age from which an object is deleted.
	poisonLifetime = 15 * time.Minute
	// poisonStoredAge and poisonStoredRequests bound what an object holds.
	poisonStoredAge, poisonStoredRequests = 10 * time.Minute, 512
)

// storedPoison is the value of an object of kindPoison.
type storedPoison struct {
	// Written is the time of day from which the report's ages count, in Unix ms.
	Written int64                  `cbor:"1,keyasint"`
	Report  *dispatch.PoisonReport `cbor:"2,keyasint"`
}

// poisonStore is what this VM knows of the objects of kindPoison.
type poisonStore struct {
	v       *VM
	version int64            // of this VM's own object
	seen    map[string]int64 // by object, the version that was merged
	read    bool             // all objects were read at least once
	written uint64           // dispatch.PoisonVersion at the last write
}

// storePoison keeps at the platform which requests were in flight at which crashes.
func (v *VM) storePoison(ctx context.Context) {
	s := &poisonStore{v: v, seen: make(map[string]int64)}
	for ok := true; ok; ok = wait(ctx, poisonStoreInterval) {
		ids := v.fleet.liveIDs()
		alone := len(ids) < len(v.fleet.VMs())
		if !s.read || alone {
			s.list(ctx)
		}
		rank := slices.Index(rendezvous.RankBy(kindPoison, ids, func(id string) string { return id }), v.settings.VM)
		if s.read && (alone || rank < poisonWriters) {
			s.write(ctx)
		}
	}
}

// list merges the objects that have changed. It counts as done once all of them could be merged, since a VM
// that starts has no pools before it has its configuration.
func (s *poisonStore) list(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	l, err := s.v.store.List(c, kindPoison)
	if err != nil {
		s.v.log.Warn().Err(err).Msg("crashes kept at the platform can't be read")
		return
	}
	all := true
	for _, o := range l.Objects {
		if o.Name == s.v.settings.VM {
			s.version = o.Version
		}
		if s.seen[o.Name] == o.Version {
			continue
		}
		var p storedPoison
		if err := cbor.Unmarshal(o.Value, &p); err != nil || p.Report == nil {
			s.v.log.Warn().Str("object", o.Key.String()).Err(err).Msg("crashes kept at the platform can't be decoded")
			s.seen[o.Name] = o.Version
			continue
		}
		if !s.v.dispatch.HasPools(p.Report) {
			all = false
			continue
		}
		age := time.Since(time.UnixMilli(p.Written))
		if age > poisonLifetime && o.Name != s.v.settings.VM {
			// On an error it is deleted by another VM, or by this one the next time.
			_ = s.v.store.Delete(c, o.Key, o.Version)
		}
		p.Report.AddAge(age)
		s.v.dispatch.MergePoison(o.Name, p.Report)
		s.seen[o.Name] = o.Version
	}
	if all && !s.read {
		s.read = true
		s.v.log.Info().Int("objects", len(l.Objects)).Msg("crashes kept at the platform read")
	}
}

// write writes this VM's object if there is something new.
func (s *poisonStore) write(ctx context.Context) {
	version := s.v.dispatch.PoisonVersion()
	if version == s.written {
		return
	}
	report := s.v.dispatch.PoisonReport(poisonStoredAge, poisonStoredRequests)
	if report.IsEmpty() {
		s.written = version
		return
	}
	value, err := cbor.Marshal(&storedPoison{Written: time.Now().UnixMilli(), Report: report})
	if err != nil {
		s.v.log.Error().Err(err).Msg("crashes can't be encoded")
		return
	}
	c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	o, err := s.v.store.Put(c, durable.Key{Kind: kindPoison, Name: s.v.settings.VM}, value, s.version)
	var conflict *durable.ConflictError
	switch {
	case err == nil:
		s.version, s.written, s.seen[s.v.settings.VM] = o.Version, version, o.Version
		parts := 0
		for _, verdicts := range report.PartVerdicts {
			parts += len(verdicts)
		}
		s.v.log.Info().Int("bytes", len(value)).Int("part_verdicts", parts).Msg("crashes kept at the platform")
	case errors.As(err, &conflict):
		s.version = conflict.Current.Version // a write whose reply was lost, or the object of an earlier life
	default:
		s.v.log.Warn().Err(err).Msg("crashes can't be kept at the platform")
	}
}
