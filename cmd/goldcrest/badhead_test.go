package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/router/answer/answertest"
)

// Guards against a head that isn't valid, and whose answer an operator sees, or for which a change counts as settled.
func TestInvalidHeadsAreNoAnswers(t *testing.T) {
	const body = `{"revision":7,"code":"conflict","detail":"d","accepted":"no"}`
	show := func(text string) (int, string) {
		return runCommand("--vm", answertest.ServeText(t, text), "--key", "k", "--json", "list", "service")
	}
	change := func(text string) (int, string) {
		return runCommand("--vm", answertest.ServeText(t, text), "--key", "k", "--timeout", "200ms", "delete", "service", "s", "--change-id", "c", "--since", "1")
	}
	code, out := show(answertest.Sound("", body))
	require.Equal(t, exitOK, code, out)
	code, out = change(answertest.Sound("", body))
	require.Equal(t, exitOK, code, out)
	for name, text := range answertest.Invalid("", body) {
		code, out := show(text)
		require.Equal(t, exitNotAccepted, code, "%s: %s", name, out)
		code, out = change(text)
		require.Equal(t, exitUnknown, code, "%s: %s", name, out)
	}
}
