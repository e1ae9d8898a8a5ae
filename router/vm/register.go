package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"goldcrestfork/durable/httpstore"
)

// registerInterval is the interval at which the VM's entry is renewed. A stand-in that
// restarted and lost its list gets the entry again after at most this time.
const registerInterval = 5 * time.Second

// register adds this VM to the VM list of the platform's stand-in if the settings ask
// for it, and removes it when ctx ends. The real platform knows its VMs.
func (v *VM) register(ctx context.Context) {
	if !v.settings.Platform.Register {
		return
	}
	for ok := true; ok; ok = wait(ctx, registerInterval) {
		v.sendRegistration(ctx, http.MethodPut)
	}
	// ctx has ended here; the removal of the entry needs its own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	v.sendRegistration(ctx, http.MethodDelete)
}

func (v *VM) sendRegistration(ctx context.Context, method string) {
	self := v.fleet.members.Self()
	// A struct of strings always encodes.
	body, _ := json.Marshal(httpstore.VM{ID: self.ID, Address: self.Address, DataCentre: self.DataCentre})
	req, err := http.NewRequestWithContext(ctx, method, v.settings.Platform.URL+"/vms/"+self.ID, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
