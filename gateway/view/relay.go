package view

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// relayPath is where a VM's feeds are read.
	relayPath = "/feed"
	// leastRead is the least time that a read of a feed gets, so that a reader whose own
	// word is old already doesn't give up on a feed that has later word.
	leastRead = 200 * time.Millisecond
	// wholeRead is the least time for a whole kind: 150 endpoints are 45 KB, and eight
	// readers get that over a link of 10 Mbit/s in 300 ms.
	wholeRead = 500 * time.Millisecond
	// largestFeed bounds an answer that is read.
	largestFeed = 8 << 20
)

// Relays serves and reads feeds between VMs.
type Relays struct {
	client *http.Client
	feeds  map[string]*Feed
	bytes  *prometheus.CounterVec
}

// NewRelays returns relays that serve feeds by kind.
func NewRelays(feeds map[string]*Feed, r prometheus.Registerer) *Relays {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_feed_bytes_total", Help: "Bytes of feeds that other VMs read here, by kind, without HTTP heads.",
	}, []string{"kind"})
	r.MustRegister(bytes)
	return &Relays{
		feeds: feeds, bytes: bytes,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: len(feeds), IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}},
	}
}

// Handler answers other VMs.
func (r *Relays) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relayPath+"/{kind}", r.serve)
	return mux
}

func (r *Relays) serve(w http.ResponseWriter, req *http.Request) {
	feed := r.feeds[req.PathValue("kind")]
	after, err := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	silence, serr := time.ParseDuration(req.URL.Query().Get("silence"))
	if feed == nil || err != nil || serr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	step, err := feed.Wait(req.Context(), after, silence)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := cbor.Marshal(&step)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	r.bytes.WithLabelValues(req.PathValue("kind")).Add(float64(len(b)))
	// A reader that left asks again elsewhere.
	_, _ = w.Write(b)
}

// Read asks a VM's feed once; it implements Reader.
func (r *Relays) Read(ctx context.Context, peer, kind string, after int64, silence time.Duration) (Step, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "silence": {silence.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+relayPath+"/"+kind+"?"+q.Encode(), nil)
	if err != nil {
		return Step{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Step{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, largestFeed))
	switch {
	case err != nil:
		return Step{}, err
	case resp.StatusCode != http.StatusOK:
		return Step{}, fmt.Errorf("%w: status %d", ErrStale, resp.StatusCode)
	}
	var s Step
	if err := cbor.Unmarshal(b, &s); err != nil {
		return Step{}, err
	}
	return s, nil
}
