package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"goldcrestfork/config"
	"goldcrestfork/control/orders"
)

// maxOrder bounds an endpoint's report, in bytes.
const maxOrder = 64 << 10

// ordered reaches the endpoints' order API: POST /order obeys or, with 409, refuses
// an old fencing number; GET /order reports.
type ordered struct{}

// order is an order and a report on the wire.
type order struct {
	Fence       int64    `json:"fence"`
	Versions    []string `json:"versions"`
	Role        string   `json:"role"`
	Incarnation int64    `json:"incarnation,omitempty"`
}

// Order implements orders.Endpoints.
func (o ordered) Order(ctx context.Context, e *config.Endpoint, want orders.Order) error {
	body, err := json.Marshal(order{Fence: want.Fence, Versions: want.Versions, Role: want.Role})
	if err != nil {
		return err
	}
	status, _, err := o.call(ctx, http.MethodPost, e, body)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return orders.ErrFenced
	case status != http.StatusOK:
		return fmt.Errorf("endpoint answered %d to an order", status)
	}
	return nil
}

// Report implements orders.Endpoints.
func (o ordered) Report(ctx context.Context, e *config.Endpoint) (orders.Report, error) {
	status, body, err := o.call(ctx, http.MethodGet, e, nil)
	if err != nil {
		return orders.Report{}, err
	}
	if status != http.StatusOK {
		return orders.Report{}, fmt.Errorf("endpoint answered %d for its report", status)
	}
	var r order
	if err := json.Unmarshal(body, &r); err != nil {
		return orders.Report{}, err
	}
	slices.Sort(r.Versions)
	return orders.Report{Placement: orders.Placement{Versions: r.Versions, Role: r.Role}, Incarnation: r.Incarnation}, nil
}

func (ordered) call(ctx context.Context, method string, e *config.Endpoint, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOrder))
	return resp.StatusCode, data, err
}
