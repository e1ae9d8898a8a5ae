package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An operator can't know a setting that is missing from the operators' page.
func TestPageNamesEverySetting(t *testing.T) {
	text, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	requireFields(t, string(text), reflect.TypeFor[Settings](), "")
}

func requireFields(t *testing.T, page string, of reflect.Type, path string) {
	for i := range of.NumField() {
		f := of.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			requireFields(t, page, f.Type, path+name+".")
			continue
		}
		long, short := "`"+path+name+"`", "`."+name+"`"
		require.True(t, strings.Contains(page, long) || path == "operators." && strings.Contains(page, short), long)
	}
}
