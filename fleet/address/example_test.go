package address_test

import (
	"fmt"

	"goldcrestfork/fleet/address"
)

// A caller near norte-a asks which VMs to use. The answer leaves out a VM that leaves and a
// VM whose data centre is out of service.
func ExampleChoose() {
	answer := address.Choose(address.Query{Caller: "bakers", DataCentre: "norte-a"}, address.View{
		Candidates: []address.Candidate{
			{ID: "vm-1", Address: "10.20.1.2:7000", DataCentre: "norte-a"},
			{ID: "vm-2", Address: "10.20.1.3:7000", DataCentre: "norte-a", Leaving: true},
			{ID: "vm-3", Address: "10.20.2.2:7000", DataCentre: "norte-b"},
			{ID: "vm-4", Address: "10.20.3.2:7000", DataCentre: "norte-c"},
		},
		IsOut: func(dataCentre string) bool { return dataCentre == "norte-c" },
	})
	fmt.Println(answer.Addresses, answer.Keep)
	// Output: [10.20.1.2:7000 10.20.2.2:7000] 20s
}
