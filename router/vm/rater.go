package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"goldcrestfork/router/answer"
	"goldcrestfork/router/entry"
)

// maxRatingBytes bounds the rating service's answer.
const maxRatingBytes = 4 << 10

var ratingHTTP = &http.Client{Transport: answer.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// rater calls the rating service at a URL.
type rater struct{ url string }

// newRater returns nil if no rating service is configured.
func newRater(url string) entry.Rater {
	if url == "" {
		return nil
	}
	return rater{url}
}

// Rate implements entry.Rater. Any rating outside 0 to 1 is an error.
func (g rater) Rate(ctx context.Context, q entry.Rating) (float64, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := ratingHTTP.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rating service answered %d", resp.StatusCode)
	}
	var r struct {
		Rating *float64 `json:"rating"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRatingBytes)).Decode(&r); err != nil {
		return 0, err
	}
	if r.Rating == nil || *r.Rating < 0 || *r.Rating > 1 {
		return 0, fmt.Errorf("rating service gave no rating from 0 to 1")
	}
	return *r.Rating, nil
}
