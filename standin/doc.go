// Package standin is the parent of the stand-ins for the systems around the project: the
// platform's object API (store), an engine's interface for orders (order), and model engines,
// plain services and the rating service (backend). Tests use them in process; the demo runs
// them as separate processes.
package standin
