package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

// ServiceFaults are the faults that a plain service simulates.
type ServiceFaults struct {
	// LoseReplies is the number of further calls that take effect but get no answer, since the
	// connection is dropped.
	LoseReplies int `json:"loseReplies"`
	// Refuse makes the service answer each call with 503 without effect.
	Refuse bool `json:"refuse"`
	// Hold is the time between a call's effect and its answer, in nanoseconds in JSON.
	Hold time.Duration `json:"hold"`
}

// Service is a stand-in for a plain service. A GET is counted; a call of another method is a
// booking, whose body is kept. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	booked []string
	reads  int
}

// NewService returns a service without bookings.
func NewService() *Service { return &Service{} }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Booked returns the bodies of the bookings, in order.
func (s *Service) Booked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.booked...)
}

// Reads returns the number of GET calls that took effect, including those whose answer was
// lost.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler returns a handler of the service and of its control paths (/faults, /booked).
func (s *Service) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/faults", faultsHandler(s.SetFaults), http.MethodPost)
	mux.HandleFunc("/booked", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Booked()) }, http.MethodGet)
	mux.HandleFunc("/...", s.handleCall)
	return mux
}

// Calls returns the number of calls that were executed, without those that were refused.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + len(s.booked)
}

// handleCall executes one call and answers it after the hold time, or drops the connection.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	number, status, hold, lose := s.execute(r.Method, string(body))
	if !waitFor(r, hold) || lose {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]any{"path": r.URL.Path, "number": number})
}

// execute applies the effect of a call. It returns the call's number among those of its kind,
// the status of the answer, and the faults that apply to the answer.
func (s *Service) execute(method, body string) (number, status int, hold time.Duration, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return 0, http.StatusServiceUnavailable, 0, false
	}
	if method == http.MethodGet {
		s.reads++
		number = s.reads
	} else {
		s.booked = append(s.booked, body)
		number = len(s.booked)
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return number, http.StatusOK, s.faults.Hold, true
	}
	return number, http.StatusOK, s.faults.Hold, false
}

// RatingFaults are the faults and ratings of the rating service.
type RatingFaults struct {
	// Down makes the service answer each call with 503.
	Down bool `json:"down"`
	// Ratings holds the rating of each model version; the default is 0.9.
	Ratings map[string]float64 `json:"ratings"`
}

// Rating is a stand-in for the service that rates answers. It is safe for concurrent use.
type Rating struct {
	mu     sync.Mutex
	faults RatingFaults
}

// NewRating returns a service that gives each answer the rating 0.9.
func NewRating() *Rating { return &Rating{} }

// SetFaults replaces the faults and ratings in force.
func (g *Rating) SetFaults(f RatingFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Handler returns a handler of POST /rate and of the control path /faults.
func (g *Rating) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/faults", faultsHandler(g.SetFaults), http.MethodPost)
	mux.HandleFunc("/rate", g.handleRate, http.MethodPost)
	return mux
}

// handleRate answers with the rating of the version in the request.
func (g *Rating) handleRate(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Version string `json:"version"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rating, ok := g.faults.Ratings[q.Version]
	if !ok {
		rating = 0.9
	}
	writeJSON(w, map[string]float64{"rating": rating})
}
