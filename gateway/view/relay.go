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

	"goldcrestfork/router/answer"
)

const (
	// feedPath is the URL path under which a VM serves its feeds.
	feedPath = "/feed"
	// minReadTimeout is the least timeout of a read of a feed, so that a reader whose own state
	// is already too old still gets an answer from a feed with newer state.
	minReadTimeout = 200 * time.Millisecond
	// minFullReadTimeout is the least timeout for a whole kind: 150 endpoints are 45 KB, and
	// eight readers get that over a link of 10 Mbit/s in 300 ms.
	minFullReadTimeout = 500 * time.Millisecond
	// maxFeedBytes bounds the size of an answer and of a decompressed object.
	maxFeedBytes = 8 << 20
)

// FeedTransport serves and reads feeds between VMs over HTTP.
type FeedTransport struct {
	client *http.Client
	feeds  map[string]*Feed
	bytes  *prometheus.CounterVec
}

// NewFeedTransport returns a FeedTransport that serves feeds, keyed by kind, and registers its
// metrics with r.
func NewFeedTransport(feeds map[string]*Feed, r prometheus.Registerer) *FeedTransport {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "goldcrest_feed_bytes_total", Help: "Bytes of feeds that other VMs read here, by kind, without HTTP heads.",
	}, []string{"kind"})
	r.MustRegister(bytes)
	return &FeedTransport{
		feeds: feeds, bytes: bytes,
		client: &http.Client{Transport: answer.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: len(feeds), IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		})},
	}
}

// Handler returns the HTTP handler for reads by other VMs.
func (r *FeedTransport) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+feedPath+"/{kind}", r.serve)
	return mux
}

func (r *FeedTransport) serve(w http.ResponseWriter, req *http.Request) {
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
	// A reader that has disconnected retries at another VM.
	_, _ = w.Write(b)
}

// Read reads a VM's feed once and implements Reader. It returns ErrStale, wrapped, for any
// status but 200.
func (r *FeedTransport) Read(ctx context.Context, peer, kind string, after int64, silence time.Duration) (Step, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "silence": {silence.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+feedPath+"/"+kind+"?"+q.Encode(), nil)
	if err != nil {
		return Step{}, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return Step{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxFeedBytes))
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
