package vm

import (
	"context"
	"net/http"
	"time"

	"goldcrestfork/ledger/bill"
	"goldcrestfork/router/operator"
)

// operatorAPI returns the API through which operators read and change the configuration.
func (v *VM) operatorAPI() http.Handler {
	return operator.New(operator.Options{
		Configuration: v.cache,
		Editor:        v.editor,
		Fleet:         v.fleet,
		Bills:         billReader{bill.NewReader(v.store)},
		KeyHashes:     v.settings.OperatorKeyHashes,
		Registerer:    v.registry,
		Bodies:        v.bodies,
	})
}

// billReader adapts bill.Reader to operator.Bills.
type billReader struct{ reader *bill.Reader }

// Bills implements operator.Bills. An empty account selects all accounts.
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
