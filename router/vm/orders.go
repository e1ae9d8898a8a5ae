package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"goldcrestfork/config"
	"goldcrestfork/control/orders"
	"goldcrestfork/policy/statusline"
	"goldcrestfork/router/answer"
)

// maxReportBytes bounds the body of an endpoint's report.
const maxReportBytes = 64 << 10

// orderClient calls the order API of the endpoints. POST /order carries an order, which
// the endpoint follows or, if the fencing number is old, refuses with status 409.
// GET /order returns a report.
type orderClient struct{}

// orderHTTP makes one connection per call. A late copy of an endpoint's answer to an earlier order bears
// nothing that tells it from the answer to the next one on the connection.
var orderHTTP = &http.Client{Transport: answer.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true})}

// order is the JSON body of an order and of a report.
type order struct {
	Fence       int64    `json:"fence"`
	Versions    []string `json:"versions"`
	Role        string   `json:"role"`
	Incarnation int64    `json:"incarnation,omitempty"`
}

// Order implements orders.Endpoints. It returns orders.ErrFenced for an old fencing number.
func (o orderClient) Order(ctx context.Context, e *config.Endpoint, want orders.Order) error {
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
func (o orderClient) Report(ctx context.Context, e *config.Endpoint) (orders.Report, error) {
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

func (orderClient) call(ctx context.Context, method string, e *config.Endpoint, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := orderHTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if statusline.InHead(resp.Status, resp.Header) {
		return 0, nil, errors.New("the head of the endpoint's answer goes on as another answer's")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp.StatusCode, data, err
}
