package vm

import (
	"context"
	"net/http"
	"time"

	"goldcrestfork/ledger/bill"
	"goldcrestfork/platform"
	"goldcrestfork/router/operator"
)

// operatorAPI is the API by which operators read and change the configuration.
func (v *VM) operatorAPI() http.Handler {
	return operator.New(operator.Options{
		Configuration: v.cache,
		Editor:        v.editor,
		Fleet:         listed{v},
		Bills:         billReader{bill.NewReader(v.store)},
		KeyHashes:     v.settings.OperatorKeyHashes,
		Registerer:    v.registry,
	})
}

// listed is the fleet by the platform's list. Of the revisions it knows this VM's
// alone, so that the others count as not heard.
type listed struct{ v *VM }

// VMs implements operator.Fleet; without the platform it names this VM alone.
func (l listed) VMs() []string {
	ctx, cancel := context.WithTimeout(context.Background(), platform.CallTimeout)
	defer cancel()
	names := []string{l.v.settings.VM}
	list, err := l.v.store.VMs(ctx)
	if err != nil {
		return names
	}
	for _, vm := range list {
		names = append(names, vm.ID)
	}
	return names
}

// Revisions implements operator.Fleet.
func (l listed) Revisions() map[string]int64 {
	return map[string]int64{l.v.settings.VM: l.v.cache.Revision()}
}

// billReader reads bills for operators.
type billReader struct{ reader *bill.Reader }

// Bills implements operator.Bills.
func (b billReader) Bills(ctx context.Context, account string, day time.Time) ([]operator.Bill, error) {
	sums, err := b.reader.Day(ctx, day)
	if err != nil {
		return nil, err
	}
	bills := []operator.Bill{}
	for _, r := range sums.Rows {
		if account == "" || r.Account == account {
			bills = append(bills, operator.Bill{Account: r.Account, Version: r.Version, Requests: r.Requests,
				InputTokens: r.InputTokens, OutputTokens: r.OutputTokens, Micros: r.Micros})
		}
	}
	return bills, nil
}
