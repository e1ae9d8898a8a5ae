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

// usable returns a function that reports whether the account may use a version of the
// requested model now. A requested name that is a version's own name matches only this
// version.
func (c *chatRequest) usable(s *config.Snapshot) func(string) bool {
	return func(name string) bool {
		v := s.Versions[name]
		return v != nil &&
			v.State == config.VersionServing &&
			(v.Model == c.body.Model || v.Name == c.body.Model) &&
			c.Account.Versions.Matches(v.Labels)
	}
}

// chooseVersion sets the version of a request: the version of the stream that it
// resumes, of its session, or the one that follows from the roll-out and the account's
// rights.
func (e *Entry) chooseVersion(ctx context.Context, c *chatRequest) *refusal.Refusal {
	s := e.configuration.Snapshot()
	usable := c.usable(s)
	if c.resume != nil {
		if !usable(c.resume.Version) {
			return refusal.New(http.StatusGone, refusal.ResumeNotPossible, "version %s takes no work any more", c.resume.Version).WithRan(refusal.DidRun)
		}
		c.version = c.resume.Version
		return nil
	}
	first, bad := e.initialVersion(c, s, usable)
	if bad != nil {
		return bad
	}
	c.version, c.arm, c.rollOut = first.Version, first.Arm, rollout.ForModel(s, c.body.Model)
	if c.Session == "" {
		return nil
	}
	return e.pinSession(ctx, c, usable)
}

// initialVersion returns the version for a request without a stream or session.
func (e *Entry) initialVersion(c *chatRequest, s *config.Snapshot, usable func(string) bool) (rollout.Choice, *refusal.Refusal) {
	if r := rollout.ForModel(s, c.body.Model); r != nil {
		choose := rollout.Choose
		if c.Session == "" {
			choose = e.brakes.Choose
		}
		if choice, ok := choose(r, c.rollOutKey(), usable); ok {
			return choice, nil
		}
	}
	if v := entryVersion(s, usable); v != "" {
		return rollout.Choice{Version: v}, nil
	}
	return rollout.Choice{}, c.noVersionRefusal(s)
}

// entryVersion returns the usable version to which no other usable version escalates,
// i.e. the cheap end of a cascade. Among several it returns the cheapest, then the first
// by name, so that all VMs at one revision agree. It returns "" if no version is usable.
func entryVersion(s *config.Snapshot, usable func(string) bool) string {
	var names []string
	isEscalation := make(map[string]bool)
	for name, v := range s.Versions {
		if usable(name) {
			names = append(names, name)
			isEscalation[v.Cascade] = true
		}
	}
	heads := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return isEscalation[n] })
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

// noVersionRefusal distinguishes a model that the account may not use from one without a
// serving version.
func (c *chatRequest) noVersionRefusal(s *config.Snapshot) *refusal.Refusal {
	for v := range maps.Values(s.Versions) {
		if (v.Model == c.body.Model || v.Name == c.body.Model) && c.Account.Versions.Matches(v.Labels) {
			return refusal.New(http.StatusServiceUnavailable, refusal.NoVersion, "no version of %s that the account may use is serving", c.body.Model)
		}
	}
	return refusal.New(http.StatusForbidden, refusal.ModelNotAllowed, "the account may not use model %q", c.body.Model)
}

// pinSession keeps a session on the version of its first answer. While the store is down
// a new session uses the roll-out's choice. This choice depends only on the session and
// the configuration's revision, which can't change while the store is down, so every VM
// makes the same choice.
func (e *Entry) pinSession(ctx context.Context, c *chatRequest, usable func(string) bool) *refusal.Refusal {
	session := pin.Session{Account: c.Account.Name, ID: c.Session}
	p, err := e.sessions.Version(ctx, session, c.sentPin, c.version, usable, c.Accepted)
	if err != nil {
		return c.noVersionRefusal(e.configuration.Snapshot())
	}
	e.metrics.pins.WithLabelValues(string(p.Source)).Inc()
	if p.Version != c.version {
		c.version, c.arm = p.Version, rollout.ArmNone
	}
	c.newPin, c.movedFrom = p.Token, p.MovedFrom
	return nil
}

// checkAllowed checks a request's version against the current configuration.
func (e *Entry) checkAllowed(c *chatRequest, started bool) *refusal.Refusal {
	if bad := e.checkAcceptsWork(); bad != nil {
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
		return refusal.New(http.StatusServiceUnavailable, refusal.NoVersion, "version %q was withdrawn while the request waited", c.version).WithRetryAfter(retryDelay)
	}
	return nil
}
