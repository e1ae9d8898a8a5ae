// Package orders keeps the versions and the role of each model engine as the
// configuration specifies them.
//
// An order is absolute: it lists all versions and the role, so that a duplicate has no
// effect. The controller first records the wanted placement of an endpoint in the
// platform's store by a conditional write, together with the configuration revision
// that it follows from; the record's version is the order's fencing number. A record
// only moves to a higher revision. Two holders of the lease, one of them with an old
// configuration, therefore can't switch an endpoint back and forth.
//
// An endpoint that checks fencing numbers refuses late orders. One that ignores them
// (config.Endpoint.Fenced is false) would apply a late order. For such an endpoint
//   - a new holder first waits until no order of its predecessor can be in flight;
//   - after an order without an answer the controller waits as long before the next one;
//   - the controller reads the endpoint's report repeatedly and corrects differences.
//     This also covers an order from a holder that was paused for longer than any
//     bound, and a restart, in which the endpoint loses its fencing number.
//
// Between a late order and its correction the endpoint may have the wrong version
// loaded. The router checks the version of each answer and reports a wrong one through
// Controller.Suspect.
//
// Lock order: Controller.roundMu, which is held during a round with its calls, before
// Controller.mu, a leaf that guards the state dump and the suspects. Each worker of a
// round has exclusive use of one task.
package orders
