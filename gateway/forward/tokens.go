package forward

import (
	"net/http"
	"strings"
)

// maxTokens bounds the tokens that a caller states for one part of a prompt, for the prompt and for the
// output, far above any engine's memory, so that sums can't overflow.
const maxTokens = 1 << 24

// parseTokens returns the tokens of an endpoint's memory that a request may take: those of its prompt and
// the most output, or the caller's estimate of the output if that is larger. Without a count of its tokens
// the parts of the prompt count; 0 if nothing is known.
func parseTokens(h http.Header, n *HeaderNames, p *prompt) int {
	input, output := p.totalTokens, 0
	if a, b, ok := strings.Cut(h.Get(n.TokenCounts), ","); ok {
		input, output = max(parseCount(a), input), parseCount(b)
	}
	output = max(output, parseCount(h.Get(n.LengthHint)))
	return min(input, maxTokens) + min(output, maxTokens)
}
