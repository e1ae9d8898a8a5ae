package node

import (
	"sync"
	"time"

	"goldcrestfork/policy/retry"
)

// budgets holds one window of repeated attempts for each service.
type budgets struct {
	n       *Node
	mu      sync.Mutex
	bounds  Bounds // from which the windows were made
	windows map[string]*retry.Window
}

func newBudgets(n *Node) *budgets { return &budgets{n: n, windows: make(map[string]*retry.Window)} }

func (b *budgets) window(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.n.bounds()
	if s != b.bounds {
		b.bounds = s
		clear(b.windows)
	}
	w := b.windows[service]
	if w == nil {
		w = retry.NewWindow(s.RetryWindow, s.RetryRatio, s.RetrySlack)
		b.windows[service] = w
	}
	return w
}

// RecordFirst implements forward.RetryBudget.
func (b *budgets) RecordFirst(service string) { b.window(service).RecordFirst(time.Now()) }

// TakeExtra implements forward.RetryBudget.
func (b *budgets) TakeExtra(service string) bool {
	return b.window(service).TakeExtra(time.Now(), len(b.n.sharingVMs()))
}
