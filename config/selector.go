package config

import "slices"

// Matches reports whether labels satisfy the selector.
func (s Selector) Matches(labels map[string]string) bool {
	if len(s) == 0 {
		return false
	}
	for key, values := range s {
		value, ok := labels[key]
		if !ok || !slices.Contains(values, value) {
			return false
		}
	}
	return true
}
