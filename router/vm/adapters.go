package vm

import (
	"context"
	"errors"
	"time"

	"goldcrestfork/config"
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

// noSessions keeps sessions by the deterministic choice alone.
type noSessions struct{}

// Decide implements entry.Sessions.
func (noSessions) Decide(_ context.Context, _, _, version string) (string, error) {
	return version, nil
}

// Sign implements entry.Sessions.
func (noSessions) Sign(string, string, string) string { return "" }

// Verify implements entry.Sessions.
func (noSessions) Verify(string, string, string) (string, bool) { return "", false }

type noBills struct{}

// Record implements entry.Bills.
func (noBills) Record(entry.Bill) {}

// ownAddress answers with this VM alone.
type ownAddress struct{ v *VM }

// Addresses implements entry.Addresses.
func (o ownAddress) Addresses(string, string) ([]entry.Address, time.Duration) {
	own := entry.Address{Address: o.v.CallersAddress(), DataCentre: o.v.settings.DataCentre}
	return []entry.Address{own}, time.Duration(o.v.settings.KeepAddresses)
}
