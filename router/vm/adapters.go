package vm

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/durable/httpstore"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/router/answer"
)

// newStore returns a client of the platform's store.
func newStore(url string) *httpstore.Client {
	return httpstore.New(url, httpstore.WithTransport(answer.NewTransport(httpstore.DefaultTransport())))
}

// inForce is the configuration in force, extended by the check whether new work may be
// taken under it.
type inForce struct{ *config.Cache }

// CheckFresh implements entry.Configuration. Its error says why the VM takes no new work.
func (f inForce) CheckFresh() error {
	d := f.Staleness(time.Now())
	if d.TakesWork() {
		return nil
	}
	return errors.New(d.Reason)
}

// sessions pins each session to the version that the roll-out assigned to it first.
type sessions struct{ *pin.Pins }

// Version implements entry.Sessions.
func (s sessions) Version(ctx context.Context, id pin.Session, token, choice string, usable func(string) bool, now time.Time) (pin.Pin, error) {
	return s.Pins.Version(ctx, id, token, []pin.VersionWeight{{Version: choice, Weight: 1}}, usable, now)
}
