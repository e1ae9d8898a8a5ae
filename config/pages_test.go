package config

import (
	"os"
	"reflect"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// page returns the text of a page of the operators' manual.
func page(t *testing.T, name string) string {
	text, err := os.ReadFile("../docs/operators/" + name)
	require.NoError(t, err)
	return string(text)
}

// Operators need each field of an object and each metric to be documented.
func TestPagesNameEveryFieldAndMetric(t *testing.T) {
	objects := page(t, "objects.md")
	for _, kind := range Kinds {
		require.Contains(t, objects, "## `"+string(kind)+"`")
		for name := range fieldsOf(reflect.TypeOf(NewObject(kind)).Elem()) {
			require.Contains(t, objects, "`"+name+"`", "%s", kind)
		}
	}
	for name := range fieldsOf(reflect.TypeFor[Call]()) {
		require.Contains(t, objects, "`calls[]."+name+"`")
	}

	metrics := page(t, "metrics.md")
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.StoreCalls.WithLabelValues("list")
	m.Fetches.WithLabelValues("answered")
	m.Questions.WithLabelValues("answered")
	m.Notices.WithLabelValues("told")
	m.Verdicts.WithLabelValues("cut")
	m.ModeChanges.WithLabelValues("reading")
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 15)
	for _, f := range families {
		require.Contains(t, metrics, "`"+f.GetName())
	}
}
