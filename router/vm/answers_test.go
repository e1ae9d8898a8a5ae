package vm

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcrestfork/config"
	"goldcrestfork/control/orders"
	"goldcrestfork/durable"
	"goldcrestfork/router/answer/answertest"
	"goldcrestfork/router/entry"
)

// Guards against a write that counts as done since the platform reset its connection during it, after a 200 without length.
func TestWriteThatIsResetIsNotDone(t *testing.T) {
	ctx, address := answertest.ResetDuringUpload(t, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n")
	s := newStore("http://" + address)
	defer s.CloseIdle()
	for range answertest.Plays {
		_, err := s.Put(ctx, durable.Key{Kind: "k", Name: "n"}, make([]byte, durable.MaxValueBytes), 0)
		require.ErrorIs(t, err, durable.ErrUnknown)
	}
}

// Guards against a head that isn't valid, and for which a write counts as done or without effect, or a value is read.
func TestInvalidHeadsOfThePlatformAreNoAnswers(t *testing.T) {
	const fields = "ETag: \"7\"\r\n"
	key := durable.Key{Kind: "k", Name: "n"}
	get := func(text string) (durable.Object, error) {
		return newStore("http://"+answertest.ServeText(t, text)).Get(t.Context(), key)
	}
	put := func(text string) error {
		_, err := newStore("http://"+answertest.ServeText(t, text)).Put(t.Context(), key, []byte("v"), 0)
		return err
	}
	o, err := get(answertest.Sound(fields, "value"))
	require.NoError(t, err)
	require.Equal(t, "value", string(o.Value))
	require.NoError(t, put(answertest.Sound(fields, "value")))
	for name, text := range answertest.Invalid(fields, "value") {
		_, err := get(text)
		require.ErrorIs(t, err, durable.ErrUnavailable, name)
		require.ErrorIs(t, put(text), durable.ErrUnknown, name)
	}
}

// Guards against a head that isn't valid, and for which an order counts as followed, or a report or a rating is read.
func TestInvalidHeadsOfEndpointsAreNoAnswers(t *testing.T) {
	call := func(text string) (order, report, rating error) {
		e := &config.Endpoint{Address: answertest.ServeText(t, text)}
		order = orderClient{}.Order(t.Context(), e, orders.Order{Fence: 2})
		_, report = orderClient{}.Report(t.Context(), e)
		_, rating = newRater("http://"+e.Address).Rate(t.Context(), entry.Rating{})
		return order, report, rating
	}
	const body = `{"fence":2,"rating":0.9}`
	order, report, rating := call(answertest.Sound("", body))
	require.NoError(t, order)
	require.NoError(t, report)
	require.NoError(t, rating)
	for name, text := range answertest.Invalid("", body) {
		order, report, rating := call(text)
		require.Error(t, order, name)
		require.NotErrorIs(t, order, orders.ErrFenced, name)
		require.Error(t, report, name)
		require.Error(t, rating, name)
	}
}
