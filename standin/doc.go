// Package standin holds the small stand-ins for the systems around the project:
// the platform's object API (store), model engines and plain services (backend).
// Tests use them in process; the demo runs them as separate processes.
package standin
