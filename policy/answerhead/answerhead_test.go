package answerhead

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a status that no answer has and that is believed, and against sound ones that are refused.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		err := Check(status)
		if status >= 100 && status < 600 && status != 101 {
			require.NoError(t, err, status)
		} else {
			var e *Error
			require.ErrorAs(t, err, &e, status)
			require.Equal(t, "status", e.Part)
		}
	}
	require.EqualError(t, Check(0), `the head of the answer has the invalid status "000"`)
}
