package slot

// Endpoints knows which endpoints are in cold start, from their answers and
// reports, which come late and crossed. Not safe for concurrent use.
type Endpoints struct {
	known map[string]endpointState
}

type endpointState struct {
	incarnation uint64
	cold        bool
}

// NewEndpoints knows none; an endpoint not known counts as cold.
func NewEndpoints() *Endpoints { return &Endpoints{known: make(map[string]endpointState)} }

// EndpointCold notes that the endpoint is in cold start; incarnation grows with
// each time it comes back.
func (e *Endpoints) EndpointCold(endpoint string, incarnation uint64) {
	if s, ok := e.known[endpoint]; ok && (incarnation < s.incarnation || incarnation == s.incarnation && !s.cold) {
		return
	}
	e.known[endpoint] = endpointState{incarnation: incarnation, cold: true}
}

// EndpointWarm notes that the endpoint has left cold start. Word of an earlier
// incarnation is late: it must not lift the limit of an endpoint that has come
// back cold since.
func (e *Endpoints) EndpointWarm(endpoint string, incarnation uint64) {
	if s, ok := e.known[endpoint]; ok && incarnation < s.incarnation {
		return
	}
	e.known[endpoint] = endpointState{incarnation: incarnation}
}

// Cold says whether requests to the endpoint need a slot.
func (e *Endpoints) Cold(endpoint string) bool {
	s, ok := e.known[endpoint]
	return !ok || s.cold
}

// Forget drops an endpoint that is no longer configured.
func (e *Endpoints) Forget(endpoint string) { delete(e.known, endpoint) }
