package entry

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"

	"goldcrestfork/config"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/policy/rollout"
	"goldcrestfork/router/refusal"
)

// usable says whether the account may use a version of the model asked for now.
// A name that is a version's own asks for just that one.
func (c *chat) usable(s *config.Snapshot) func(string) bool {
	return func(name string) bool {
		v := s.Versions[name]
		return v != nil &&
			v.State == config.VersionServing &&
			(v.Model == c.body.Model || v.Name == c.body.Model) &&
			c.Account.Versions.Matches(v.Labels)
	}
}

// choose fixes the version of a request: that of the stream it resumes, of its
// session, or the one that the roll-out and the account's rights give.
func (e *Entry) choose(ctx context.Context, c *chat) *refusal.Refusal {
	s := e.configuration.Snapshot()
	usable := c.usable(s)
	if c.resume != nil {
		if !usable(c.resume.Version) {
			return refusal.New(http.StatusGone, refusal.ResumeNotPossible, "version %s takes no work any more", c.resume.Version).WhichRan(refusal.DidRun)
		}
		c.version = c.resume.Version
		return nil
	}
	first, bad := e.first(c, s, usable)
	if bad != nil {
		return bad
	}
	c.version, c.arm, c.rollOut = first.Version, first.Arm, rollout.Of(s, c.body.Model)
	if c.Session == "" {
		return nil
	}
	return e.pin(ctx, c, usable)
}

// first is the version for a request that has none yet.
func (e *Entry) first(c *chat, s *config.Snapshot, usable func(string) bool) (rollout.Choice, *refusal.Refusal) {
	if r := rollout.Of(s, c.body.Model); r != nil {
		choose := rollout.Choose
		if c.Session == "" {
			choose = e.brakes.Choose
		}
		if choice, ok := choose(r, c.key(), usable); ok {
			return choice, nil
		}
	}
	if v := entryVersion(s, usable); v != "" {
		return rollout.Choice{Version: v}, nil
	}
	return rollout.Choice{}, c.noVersion(s)
}

// entryVersion is the usable version that no other usable one escalates to: the
// cheap end of a cascade; among several the cheapest, then the first by name, so
// that all VMs at one revision agree.
func entryVersion(s *config.Snapshot, usable func(string) bool) string {
	var names []string
	behind := make(map[string]bool)
	for name, v := range s.Versions {
		if usable(name) {
			names = append(names, name)
			behind[v.Cascade] = true
		}
	}
	heads := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return behind[n] })
	if len(heads) == 0 {
		heads = names
	}
	if len(heads) == 0 {
		return ""
	}
	return slices.MinFunc(heads, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Versions[a].Cost, s.Versions[b].Cost), cmp.Compare(a, b))
	})
}

// noVersion tells a model that is not the account's from one that serves nobody now.
func (c *chat) noVersion(s *config.Snapshot) *refusal.Refusal {
	for v := range maps.Values(s.Versions) {
		if (v.Model == c.body.Model || v.Name == c.body.Model) && c.Account.Versions.Matches(v.Labels) {
			return refusal.New(http.StatusServiceUnavailable, refusal.NoVersion, "no version of %s that the account may use is serving", c.body.Model)
		}
	}
	return refusal.New(http.StatusForbidden, refusal.ModelNotAllowed, "the account may not use model %q", c.body.Model)
}

// pin keeps a session on the version of its first answer. While the store is down
// a new session takes the roll-out's choice, which depends on the session and the
// configuration's revision alone: it can't change while the store is down, so that
// every VM takes the same.
func (e *Entry) pin(ctx context.Context, c *chat, usable func(string) bool) *refusal.Refusal {
	session := pin.Session{Account: c.Account.Name, ID: c.Session}
	p, err := e.sessions.Version(ctx, session, c.pinned, c.version, usable, c.Accepted)
	if err != nil {
		return c.noVersion(e.configuration.Snapshot())
	}
	e.metrics.pins.WithLabelValues(string(p.Source)).Inc()
	if p.Version != c.version {
		c.version, c.arm = p.Version, rollout.ArmNone
	}
	c.pin, c.moved = p.Token, p.Moved
	return nil
}

// stillAllowed checks a request's version against the configuration of this moment.
func (e *Entry) stillAllowed(c *chat, started bool) *refusal.Refusal {
	if bad := e.takesWork(); bad != nil {
		return bad
	}
	s := e.configuration.Snapshot()
	account := s.Accounts[c.Account.Name]
	if account == nil {
		return refusal.New(http.StatusUnauthorized, refusal.Unauthorized, "the client account was removed")
	}
	v := s.Versions[c.version]
	if v == nil || !account.Versions.Matches(v.Labels) {
		return refusal.New(http.StatusForbidden, refusal.ModelNotAllowed, "the account may not use version %q any more", c.version)
	}
	if v.State != config.VersionServing && !started {
		return refusal.New(http.StatusServiceUnavailable, refusal.NoVersion, "version %q was withdrawn while the request waited", c.version).After(comeBack)
	}
	return nil
}
