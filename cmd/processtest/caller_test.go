package processtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"goldcrestfork/router/refusal"
)

// caller is a client of a client account. It sends its requests to one VM and continues
// at the next VM when a connection breaks, an answer is cut, or a VM refuses a stream and
// asks for a retry.
type caller struct {
	vms     []*process
	current int
	// tokens counts the tokens received over all attempts.
	tokens atomic.Int64
	// vmChanges counts the changes from one VM to the next.
	vmChanges atomic.Int64
}

// outcome is the final result of a caller's request.
type outcome struct {
	status   int
	code     refusal.Code
	ran      refusal.Ran
	text     string
	complete bool
	replayed bool
	header   http.Header
}

var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(ctx context.Context, vm *process, path string, header http.Header, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.serving["callers"]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return callerClient.Do(req)
}

func chatBody(model, prompt string, tokens int) string {
	body, _ := json.Marshal(map[string]any{"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	return string(body)
}

// useNextVM selects the next VM for the caller's following requests.
func (c *caller) useNextVM() {
	c.current = (c.current + 1) % len(c.vms)
	c.vmChanges.Add(1)
}

// streamAnswer streams one answer up to its end marker. It resumes a cut answer with the
// resume token. It retries a refusal with a Retry-After header at the next VM, and returns
// at the first refusal without one, because a retry of such a request doesn't help.
func (c *caller) streamAnswer(ctx context.Context, model, prompt string, tokens int) outcome {
	header := http.Header{}
	var o outcome
	for ctx.Err() == nil {
		resp, err := post(ctx, c.vms[c.current], "/v1/chat/completions", header, chatBody(model, prompt, tokens))
		if err != nil {
			c.useNextVM()
			continue
		}
		if resp.StatusCode != http.StatusOK {
			last := decodeRefusal(resp)
			last.text = o.text
			if resp.Header.Get("Retry-After") == "" {
				return last
			}
			c.useNextVM()
			retryPause(ctx)
			continue
		}
		if token := resp.Header.Get("X-Resume-Token"); token != "" {
			header.Set("X-Resume-Token", token)
		}
		c.readEvents(resp.Body, header, &o)
		o.status, o.header = resp.StatusCode, resp.Header
		if o.complete {
			return o
		}
		c.useNextVM()
	}
	return o
}

// readEvents reads events up to the end of the connection and adds their text to o. It sets
// o.complete at the end marker, and X-Resume-From in header to the id of the last event with
// text.
func (c *caller) readEvents(body io.ReadCloser, header http.Header, o *outcome) {
	defer body.Close()
	lines := bufio.NewScanner(body)
	id := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimSpace(value)
		switch {
		case field == "id":
			id = value
		case field == "data" && value == "[DONE]":
			o.complete = true
		case field == "data":
			var f struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if json.Unmarshal([]byte(value), &f) != nil || len(f.Choices) == 0 {
				continue
			}
			o.text += f.Choices[0].Delta.Content
			c.tokens.Add(1)
			header.Set("X-Resume-From", id)
		}
	}
}

// decodeRefusal reads a refusal's problem document and closes the body.
func decodeRefusal(resp *http.Response) outcome {
	defer resp.Body.Close()
	var p struct {
		Code refusal.Code
		Ran  refusal.Ran
	}
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return outcome{status: resp.StatusCode, code: p.Code, ran: p.Ran, header: resp.Header}
}

// sendOrder sends a non-repeatable request to the service once, with key as its
// idempotency key.
func sendOrder(ctx context.Context, vm *process, key string, header http.Header) (outcome, error) {
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Idempotency-Key", key)
	resp, err := post(ctx, vm, "/v1/services/conector/refunds", h, key)
	if err != nil {
		return outcome{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, text: string(text), complete: err == nil, ran: refusal.DidRun,
		replayed: resp.Header.Get("X-Replayed") != "", header: resp.Header}, err
}

// completeOrder repeats a non-repeatable request with its idempotency key until the
// answer is final.
func (c *caller) completeOrder(ctx context.Context, key string) (outcome, error) {
	for ctx.Err() == nil {
		o, err := sendOrder(ctx, c.vms[c.current], key, nil)
		if err == nil && (o.status == http.StatusOK || o.header.Get("Retry-After") == "") {
			return o, nil
		}
		if err != nil {
			c.useNextVM()
			continue
		}
		retryPause(ctx)
	}
	return outcome{}, fmt.Errorf("no final answer: %w", ctx.Err())
}

// retryPause waits before a retry, so that a refused caller doesn't run a busy loop.
func retryPause(ctx context.Context) {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
	}
}
