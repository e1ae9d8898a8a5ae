package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"goldcrestfork/durable"
	"goldcrestfork/fleet/gossip"
	"goldcrestfork/fleet/rendezvous"
	"goldcrestfork/gateway/catalog"
	"goldcrestfork/gateway/view"
	"goldcrestfork/policy/poison"
)

const (
	// storeDelay is how long evidence waits until it is written to the platform, so that crashes that
	// come together cost one call; storeRankDelay is added for each VM that should write it before.
	storeDelay, storeRankDelay = 200 * time.Millisecond, 500 * time.Millisecond
	// storeInterval is the least time between two writes of a VM.
	storeInterval = 500 * time.Millisecond
	// maxStoredCrashes, maxStoredCandidates and maxStoredVerdicts bound an entry to some 90 KB: the
	// youngest crashes, the requests and the parts of each, and the verdicts of a service on either.
	maxStoredCrashes, maxStoredCandidates, maxStoredVerdicts = 64, 32, 64
	// storedLifetime is the age of an entry's youngest evidence from which the entry is deleted.
	storedLifetime = 15 * time.Minute
)

// storedCrashes is what the platform keeps of crash evidence, as far as this VM knows.
type storedCrashes struct {
	// own holds what this VM's entry says, others what those of other VMs have said. What an entry said
	// once has reached all VMs that read it.
	own, others candidates
	youngest    map[string]time.Time // by entry, when the youngest crash or answer in it happened
	revisions   map[string]int64     // by entry, as the platform keeps it
	// lackingSince is when this VM first had evidence that the platform lacks; zero if it lacks none.
	lackingSince, wroteAt time.Time
	writing               bool
	// checked is the evidence that was last found to be stored.
	checked evidenceState
}

// evidenceState identifies a state of the evidence of all trackers, and which of it is to be stored.
type evidenceState struct {
	version uint64
	alone   bool
}

// candidates are requests and parts by storedKey or objectionKey or, for verdicts, by service.
type candidates map[string]map[poison.Fingerprint]bool

func (c candidates) add(key string, f poison.Fingerprint) {
	if c[key] == nil {
		c[key] = make(map[poison.Fingerprint]bool)
	}
	c[key][f] = true
}

func storedKey(service, endpoint string) string { return service + " " + endpoint }

// objectionKey is the key of objections, which no endpoint has.
func objectionKey(service string) string { return service + " " }

// applyStored applies an entry that the platform keeps. own says that it is this VM's, perhaps written
// before it was restarted.
func (s *suspects) applyStored(name string, own bool, e catalog.CrashEvidence) error {
	var r crashReports
	if err := cbor.Unmarshal(e.Report, &r); err != nil {
		return err
	}
	now := time.Now()
	poison.AddAge(now.Sub(e.Written), r.Crashes, r.Objections, r.Verdicts, r.PartVerdicts)
	if r.Late != nil {
		r.Late.addAge(now.Sub(e.Written))
		if own {
			r.Late.Answers = nil // counted already
		}
	}
	s.merge(name, &r, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if own {
		s.stored.youngest[name] = s.stored.own.addReport(now, &r)
	} else {
		s.stored.youngest[name] = s.stored.others.addReport(now, &r)
	}
	return nil
}

// dropStored forgets a deleted entry. What it said still counts.
func (s *suspects) dropStored(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stored.youngest, name)
	delete(s.stored.revisions, name)
}

// setStoredRevision records the revision of an entry.
func (s *suspects) setStoredRevision(name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored.revisions[name] = max(revision, s.stored.revisions[name])
}

// forgetStoredRevisions forgets the revisions of all entries, before those that the platform has are set.
func (s *suspects) forgetStoredRevisions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored.revisions)
}

// addReport adds all that a report says, and returns when the youngest crash or answer in it happened.
func (c candidates) addReport(now time.Time, r *crashReports) (youngest time.Time) {
	note := func(ageMs uint32) {
		if at := now.Add(-time.Duration(ageMs) * time.Millisecond); at.After(youngest) {
			youngest = at
		}
	}
	for service, crashes := range r.Crashes {
		for i := range crashes {
			note(crashes[i].AgeMs)
			for _, f := range candidatesOf(&crashes[i], true) {
				c.add(storedKey(service, crashes[i].Endpoint), f)
			}
		}
	}
	for service, parts := range r.Objections {
		for i := range parts {
			note(parts[i].AnsweredMs)
			c.add(objectionKey(service), parts[i].Part)
		}
	}
	for _, byService := range []map[string][]poison.Verdict{r.Verdicts, r.PartVerdicts} {
		for service, verdicts := range byService {
			for _, v := range verdicts {
				note(v.AgeMs)
				c.add(service, v.Fingerprint)
			}
		}
	}
	if r.Late != nil {
		c.addLateReport(r.Late, note)
	}
	return youngest
}

// candidatesOf returns the requests and parts that may have crashed an endpoint: all of them, or those
// that were part of other crashes too and are not known to be sound.
func candidatesOf(c *poison.Crash, all bool) (out []poison.Fingerprint) {
	for i := range c.Requests {
		if r := &c.Requests[i]; all || r.Endpoints > 1 && r.Survived == 0 {
			out = append(out, r.Fingerprint)
		}
	}
	for i := range c.Parts {
		if p := &c.Parts[i]; all || p.Crashes > 1 && p.IsSuspect() {
			out = append(out, p.Part)
		}
	}
	return out
}

// unstored returns the evidence to write to the platform now, nil if there is none. rank is the number of
// VMs that should write it before this one. alone says that this VM doesn't hear all others: it then
// writes all crashes and not only those that have a candidate in common.
func (s *suspects) unstored(now time.Time, rank int, alone bool) *catalog.CrashEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.stored
	state := evidenceState{alone: alone}
	for _, p := range s.pools {
		state.version += p.tracker.Version() + p.late.Version()
	}
	if state == st.checked || st.writing || now.Sub(st.wroteAt) < storeInterval {
		return nil
	}
	r, lacking := s.storeReport(now, alone)
	st.prune(s.pools, now)
	if !lacking {
		st.lackingSince, st.checked = time.Time{}, state
		return nil
	}
	if st.lackingSince.IsZero() {
		st.lackingSince = now
	}
	delay := time.Duration(rank) * storeRankDelay
	if !alone {
		delay += storeDelay
	}
	if now.Before(st.lackingSince.Add(delay)) {
		return nil
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		s.log.Error().Err(err).Msg("crash evidence can't be encoded")
		return nil
	}
	st.wroteAt, st.lackingSince = now, time.Time{}
	return &catalog.CrashEvidence{Written: now, Report: b}
}

// storeReport returns what this VM's entry is to say: all that no other entry says, and all that it said
// before. lacking says that some of it is new. Callers hold s.mu.
func (s *suspects) storeReport(now time.Time, alone bool) (r *crashReports, lacking bool) {
	st := &s.stored
	r = &crashReports{Crashes: make(map[string][]poison.Crash), Verdicts: make(map[string][]poison.Verdict), PartVerdicts: make(map[string][]poison.Verdict), Answers: make(map[string]int), Objections: make(map[string][]poison.Part), KnownAnswers: make(map[string][]uint32)}
	isNew := func(key string, f poison.Fingerprint) bool { return !st.others[key][f] && !st.own[key][f] }
	for service, p := range s.pools {
		requests, parts := p.tracker.Verdicts(now)
		r.Verdicts[service], r.PartVerdicts[service] = youngestVerdicts(requests), youngestVerdicts(parts)
		r.KnownAnswers[service] = poison.KnownAnswers(r.PartVerdicts[service])
		for _, v := range slices.Concat(r.Verdicts[service], r.PartVerdicts[service]) {
			lacking = lacking || isNew(service, v.Fingerprint)
		}
		r.Objections[service] = p.tracker.Objections(now)
		for i := range r.Objections[service] {
			lacking = lacking || isNew(objectionKey(service), r.Objections[service][i].Part)
		}
		r.Answers[service] = p.tracker.Answers()
		for _, c := range s.storable(service, p.tracker.Crashes(now), alone) {
			key := storedKey(service, c.Endpoint)
			lacking = lacking || slices.ContainsFunc(candidatesOf(&c, alone), func(f poison.Fingerprint) bool { return isNew(key, f) })
			r.Crashes[service] = append(r.Crashes[service], c)
		}
	}
	var lateLacking bool
	r.Late, lateLacking = s.storeLateReport(now, alone)
	return r, lacking || lateLacking
}

// maxStoredKeys is the number of crashes from which those that no longer count are forgotten.
const maxStoredKeys = 2048

// prune forgets what entries said of crashes that no longer count.
func (st *storedCrashes) prune(pools map[string]*suspectPool, now time.Time) {
	if len(st.own)+len(st.others) < maxStoredKeys {
		return
	}
	known := make(map[string]bool)
	for service, p := range pools {
		for _, key := range []string{service, objectionKey(service)} {
			known[key], known[lateKey(key)] = true, true
		}
		for _, c := range p.tracker.Crashes(now) {
			known[storedKey(service, c.Endpoint)] = true
		}
		for _, c := range p.late.PartCrashes(now) {
			known[lateKey(storedKey(service, c.Endpoint))] = true
		}
	}
	forgotten := func(key string, _ map[poison.Fingerprint]bool) bool { return !known[key] }
	maps.DeleteFunc(st.own, forgotten)
	maps.DeleteFunc(st.others, forgotten)
}

// storable returns the crashes of a service that this VM's entry is to hold. Callers hold s.mu.
func (s *suspects) storable(service string, crashes []poison.Crash, alone bool) (out []poison.Crash) {
	for i := range crashes {
		c := &crashes[i]
		key := storedKey(service, c.Endpoint)
		c.Requests = mostSuspect(c.Requests, maxStoredCandidates)
		c.Parts = poison.MostSuspect(c.Parts, maxStoredCandidates, 0)
		said := s.stored.others[key]
		lacks := func(f poison.Fingerprint) bool { return !said[f] }
		if s.stored.own[key] != nil || slices.ContainsFunc(candidatesOf(c, alone), lacks) {
			out = append(out, *c)
		}
	}
	return out[max(len(out)-maxStoredCrashes, 0):]
}

// youngestVerdicts returns the youngest verdicts, as many as an entry holds.
func youngestVerdicts(v []poison.Verdict) []poison.Verdict {
	slices.SortFunc(v, func(a, b poison.Verdict) int { return int(a.AgeMs) - int(b.AgeMs) })
	return v[:min(len(v), maxStoredVerdicts)]
}

// expired returns an entry whose evidence no longer counts, and its revision; "" for none.
func (s *suspects) expired(now time.Time) (name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, youngest := range s.stored.youngest {
		if now.Sub(youngest) > storedLifetime && s.stored.revisions[name] != 0 {
			return name, s.stored.revisions[name]
		}
	}
	return "", 0
}

// applyCrashEvidence applies what the platform keeps of crashes.
func (n *Node) applyCrashEvidence(u view.Update[catalog.CrashEvidence]) {
	if u.All {
		n.suspects.forgetStoredRevisions()
	}
	for _, c := range u.Changes {
		err := c.Err
		if c.Deleted {
			n.suspects.dropStored(c.Name)
			continue
		}
		n.suspects.setStoredRevision(c.Name, c.Revision)
		if err == nil {
			err = n.suspects.applyStored(c.Name, c.Name == n.s.VM, c.Value)
		}
		if err != nil {
			n.log.Warn().Str("entry", c.Name).Err(err).Msg("crash evidence can't be read")
		}
	}
	if !n.crashesRead.Swap(true) {
		n.log.Info().Int("entries", len(u.Changes)).Bool("confirmed", u.ConfirmedAt > 0).Msg("crash evidence read from the platform")
	}
}

// storeCrashEvidence writes evidence that the platform lacks, and deletes what no longer counts.
func (n *Node) storeCrashEvidence(ctx context.Context) {
	if !n.crashesRead.Load() || n.feeds[kindCrashes].SinceContact() > share(n.bound(kindCrashes), feedLimitShare) {
		return // the entry of this VM's last life isn't known, or the platform answers nobody
	}
	now := time.Now()
	rank, alone := n.evidenceRank()
	if name, revision := n.suspects.expired(now); name != "" && rank == 0 {
		n.suspects.dropStored(name)
		n.spawn(func() {
			n.callForEvidence(ctx, "drop crash evidence", func(c context.Context) error { return n.p.DropCrashEvidence(c, name, revision) })
		})
	}
	e := n.suspects.unstored(now, rank, alone)
	if e == nil {
		return
	}
	replaced := n.suspects.beginWrite(n.s.VM)
	n.spawn(func() {
		revision := int64(0)
		err := n.callForEvidence(ctx, "write crash evidence", func(c context.Context) (err error) {
			revision, err = n.p.WriteCrashEvidence(c, n.s.VM, replaced, *e)
			return err
		})
		n.suspects.endWrite(n.s.VM, e, revision, err)
	})
}

// beginWrite marks a write as under way and returns the revision of the entry that it replaces, 0 for
// none.
func (s *suspects) beginWrite(name string) (replaced int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored.writing = true
	return s.stored.revisions[name]
}

// endWrite records the end of a write.
func (s *suspects) endWrite(name string, e *catalog.CrashEvidence, revision int64, err error) {
	s.mu.Lock()
	s.stored.writing = false
	if errors.Is(err, durable.ErrNotFound) {
		delete(s.stored.revisions, name) // another VM deleted it
	}
	s.mu.Unlock()
	if err != nil {
		return // it is lacking still
	}
	s.setStoredRevision(name, revision)
	if err := s.applyStored(name, true, *e); err != nil {
		s.log.Error().Err(err).Msg("own crash evidence can't be read")
	}
}

// callForEvidence calls the platform once.
func (n *Node) callForEvidence(ctx context.Context, what string, call func(context.Context) error) error {
	c, cancel := context.WithTimeout(ctx, durable.CallTimeout)
	defer cancel()
	err := call(c)
	n.log.Info().Str("call", what).Err(err).Func(n.suspects.addReach).Msg("crash evidence at the platform")
	return err
}

// evidenceRank returns the number of VMs that should write evidence before this one, and whether this VM
// doesn't hear all the VMs that it knows.
func (n *Node) evidenceRank() (rank int, alone bool) {
	table := n.gossip.Table()
	alive := table.Alive(bootClock())
	ranked := rendezvous.RankBy("crash evidence", alive, func(m gossip.Member) string { return m.Name })
	rank = slices.IndexFunc(ranked, func(m gossip.Member) bool { return m.Name == n.s.VM })
	return max(rank, 0), len(alive) < len(table.KnownNames())
}
