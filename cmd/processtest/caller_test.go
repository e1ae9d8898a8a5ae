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

// caller is a client account's program: it keeps to one VM and goes on at the next
// when that one breaks off.
type caller struct {
	vms []*process
	at  int
	// tokens counts what it received, over all attempts.
	tokens atomic.Int64
	// moved counts its changes of VM.
	moved atomic.Int64
}

// outcome is what a caller is left with.
type outcome struct {
	status   int
	code     refusal.Code
	ran      refusal.Ran
	text     string
	whole    bool
	replayed bool
	header   http.Header
}

var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(ctx context.Context, vm *process, path string, header http.Header, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.serving["callers"]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+callerKey)
	return callers.Do(req)
}

func chatBody(model, prompt string, tokens int) string {
	body, _ := json.Marshal(map[string]any{"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}}})
	return string(body)
}

// next turns to the next VM.
func (c *caller) next() {
	c.at = (c.at + 1) % len(c.vms)
	c.moved.Add(1)
}

// ask streams one answer to its end mark, going on with its token wherever it was
// cut. It gives up at a refusal that says that coming back doesn't help.
func (c *caller) ask(ctx context.Context, model, prompt string, tokens int) outcome {
	header := http.Header{}
	var o outcome
	for ctx.Err() == nil {
		resp, err := post(ctx, c.vms[c.at], "/v1/chat/completions", header, chatBody(model, prompt, tokens))
		if err != nil {
			c.next()
			continue
		}
		if resp.StatusCode != http.StatusOK {
			last := refused(resp)
			last.text = o.text
			if resp.Header.Get("Retry-After") == "" {
				return last
			}
			c.next()
			pause(ctx)
			continue
		}
		if token := resp.Header.Get("X-Resume-Token"); token != "" {
			header.Set("X-Resume-Token", token)
		}
		c.read(resp.Body, header, &o)
		o.status, o.header = resp.StatusCode, resp.Header
		if o.whole {
			return o
		}
		c.next()
	}
	return o
}

// read takes events until the end mark or the end of the connection.
func (c *caller) read(body io.ReadCloser, header http.Header, o *outcome) {
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
			o.whole = true
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

func refused(resp *http.Response) outcome {
	defer resp.Body.Close()
	var p struct {
		Code refusal.Code
		Ran  refusal.Ran
	}
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return outcome{status: resp.StatusCode, code: p.Code, ran: p.Ran, header: resp.Header}
}

// refund sends a work order once.
func refund(ctx context.Context, vm *process, key string, header http.Header) (outcome, error) {
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
		return refused(resp), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, text: string(text), whole: err == nil, ran: refusal.DidRun,
		replayed: resp.Header.Get("X-Replayed") != "", header: resp.Header}, err
}

// order repeats a work order under its key until the answer is final.
func (c *caller) order(ctx context.Context, key string) (outcome, error) {
	for ctx.Err() == nil {
		o, err := refund(ctx, c.vms[c.at], key, nil)
		if err == nil && (o.status == http.StatusOK || o.header.Get("Retry-After") == "") {
			return o, nil
		}
		if err != nil {
			c.next()
			continue
		}
		pause(ctx)
	}
	return outcome{}, fmt.Errorf("no final answer: %w", ctx.Err())
}

// pause keeps a caller that is told to come back from a busy loop.
func pause(ctx context.Context) {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-ctx.Done():
	}
}
