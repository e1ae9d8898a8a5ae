package node

import (
	"context"
	"time"
)

// rollouts keeps versions that are brought in away from callers until they are judged.
type rollouts struct{ n *Node }

func newRollouts(n *Node) *rollouts { return &rollouts{n: n} }

// Choose implements forward.Versions.
func (r *rollouts) Choose(service, _ string) (only, not string) { return "", "" }

// Answered implements forward.Versions.
func (r *rollouts) Answered(string, string, bool, time.Duration) {}

func (r *rollouts) payload() []byte             { return nil }
func (r *rollouts) take(string, uint64, []byte) {}
func (r *rollouts) changed()                    {}
func (r *rollouts) tick(context.Context)        {}
