// Package rollouts moves roll-outs by themselves: it brings the counts of all VMs
// to policy/rollout and writes its verdicts into the configuration.
//
// Any VM may run the loop, and two may do so at once. Each step is a conditional
// write on the roll-out at the revision that was judged, so of two controllers,
// of a controller and an operator, or of a write and its repeat after a lost
// reply, one takes effect. Nothing is kept between steps but what the roll-out
// object says, so another VM takes it up halfway by reading it.
//
// Operators win: a controller that loses a race does nothing but look again, and
// a roll-out that an operator paused is left alone until an operator resumes it.
//
// Lock order: Controller.tick, held over a round with its calls, before
// Controller.mu, a leaf that guards the state dump.
package rollouts
