package vm

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/ledger/pin"
	"goldcrestfork/router/entry"
)

// inForce is the configuration with the verdict whether new work may be taken under it.
type inForce struct{ *config.Cache }

// Fresh implements entry.Configuration.
func (f inForce) Fresh() error {
	d := f.Staleness(time.Now())
	if d.TakesWork() {
		return nil
	}
	return errors.New(d.Reason)
}

// sole deals all slots to this VM.
type sole struct{}

// Share implements dispatch.Slots.
func (sole) Share(_ string, slots int) int { return slots }

// ColdShare implements dispatch.Slots.
func (sole) ColdShare(_ string, slots int) int { return slots }

// TakeCold implements dispatch.Slots.
func (sole) TakeCold(string, int) (func(), bool) { return func() {}, true }

// sessions keeps sessions on the version that the roll-out gives them first.
type sessions struct{ *pin.Pins }

// Version implements entry.Sessions.
func (s sessions) Version(ctx context.Context, id pin.Session, token, choice string, usable func(string) bool, now time.Time) (pin.Pin, error) {
	return s.Pins.Version(ctx, id, token, []pin.Share{{Version: choice, Weight: 1}}, usable, now)
}

// ownAddress answers with this VM alone.
type ownAddress struct{ v *VM }

// Addresses implements entry.Addresses.
func (o ownAddress) Addresses(string, string) ([]entry.Address, time.Duration) {
	own := entry.Address{Address: o.v.CallersAddress(), DataCentre: o.v.settings.DataCentre}
	return []entry.Address{own}, time.Duration(o.v.settings.KeepAddresses)
}
