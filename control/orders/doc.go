// Package orders keeps each model engine on the versions and the role that the
// configuration gives it.
//
// An order is absolute: it names all versions and the role, so a doubled one
// changes nothing. What an endpoint should have is first recorded in the
// platform by a conditional write, together with the configuration revision it
// follows from; the record's version is the order's fencing number. A record only
// moves to a higher revision. So two holders of the lease, one of them with an
// old configuration, can't move an endpoint to and fro.
//
// An endpoint that checks fencing numbers refuses what comes late. One that
// ignores them (config.Endpoint.Fenced is false) would obey it. There
//   - a new holder first waits until no order of its predecessor can be on its way;
//   - after an order without an answer it waits as long before it sends another;
//   - the endpoint's report is read back, again and again, and put right. This
//     also covers an order from a holder that was paused for longer than any
//     bound, and a restart, which forgets the fencing number.
//
// Between a late order and its correction the endpoint may have the wrong
// version loaded; the router checks the version on each answer, and tells this
// package by Suspect.
//
// Lock order: Controller.tick, held over a round with its calls, before
// Controller.mu, a leaf that guards the state dump and the suspects. Workers of
// a round each have one task to themselves.
package orders
