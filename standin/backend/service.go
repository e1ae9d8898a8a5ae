package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/alexedwards/flow"
)

// ServiceFaults is what goes wrong on a plain service.
type ServiceFaults struct {
	// LoseReplies is the number of further calls that take effect and whose connection then drops.
	LoseReplies int `json:"loseReplies"`
	// Refuse answers 503 before doing anything.
	Refuse bool `json:"refuse"`
	// Hold is the time between a call's effect and its answer, in nanoseconds in JSON.
	Hold time.Duration `json:"hold"`
}

// Service is a stand-in for a plain service: it books each POST and answers each GET.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	booked []string
	reads  int
}

// NewService returns a service with nothing booked.
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

// Reads returns the number of GET calls answered or dropped.
func (s *Service) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Handler serves the service and its control paths (/faults, /booked).
func (s *Service) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/faults", setFaults(s.SetFaults), http.MethodPost)
	mux.HandleFunc("/booked", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Booked()) }, http.MethodGet)
	mux.HandleFunc("/...", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	number, status, hold, lose := s.take(r.Method, string(body))
	if !pause(r, hold) || lose {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]any{"path": r.URL.Path, "number": number})
}

func (s *Service) take(method, body string) (number, status int, hold time.Duration, lose bool) {
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

// RatingFaults is what goes wrong on the rating service.
type RatingFaults struct {
	// Down answers 503 to every call.
	Down bool `json:"down"`
	// Ratings gives the rating of each model version; one that is missing gets 0.9.
	Ratings map[string]float64 `json:"ratings"`
}

// Rating is a stand-in for the service that rates answers.
type Rating struct {
	mu     sync.Mutex
	faults RatingFaults
}

// NewRating returns a rating service that rates everything 0.9.
func NewRating() *Rating { return &Rating{} }

// SetFaults replaces the faults and ratings in force.
func (g *Rating) SetFaults(f RatingFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Handler serves POST /rate and the control path /faults.
func (g *Rating) Handler() http.Handler {
	mux := flow.New()
	mux.HandleFunc("/faults", setFaults(g.SetFaults), http.MethodPost)
	mux.HandleFunc("/rate", g.rate, http.MethodPost)
	return mux
}

func (g *Rating) rate(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Version string `json:"version"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
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
