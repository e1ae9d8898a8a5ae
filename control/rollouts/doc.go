// Package rollouts drives roll-outs automatically: it passes the counts of all VMs to
// policy/rollout and writes the resulting verdicts into the configuration.
//
// Any VM may run the loop, and two may do so at once. Each step is a conditional write
// on the roll-out at the revision that was evaluated. Of two controllers, of a
// controller and an operator, or of a write and its repeat after a lost reply, only one
// therefore takes effect. The roll-out object holds all state that lasts from one step
// to the next, so that another VM can continue a roll-out after it has read the object.
//
// Operators take precedence: a controller whose write conflicts only reads the
// configuration again, and a roll-out that an operator paused stays paused until an
// operator resumes it.
//
// Lock order: Controller.roundMu, which is held during a round with its calls, before
// Controller.mu, a leaf that guards the state dump.
package rollouts
