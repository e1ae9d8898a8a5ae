package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"goldcrestfork/durable/httpstore"
)

// registerEvery is how often the entry is renewed: a stand-in that lost it has it back soon.
const registerEvery = 5 * time.Second

// register enters this VM into the list of the platform's stand-in, where the
// settings ask for it. The real platform knows its VMs by itself.
func (v *VM) register(ctx context.Context) {
	if !v.settings.Platform.Register {
		return
	}
	for ok := true; ok; ok = wait(ctx, registerEvery) {
		v.registered(ctx, http.MethodPut)
	}
	// The process goes; so does its entry.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	v.registered(ctx, http.MethodDelete)
}

func (v *VM) registered(ctx context.Context, method string) {
	self := v.fleet.members.Self()
	// Strings always encode.
	body, _ := json.Marshal(httpstore.VM{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre})
	req, err := http.NewRequestWithContext(ctx, method, v.settings.Platform.URL+"/vms/"+self.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
