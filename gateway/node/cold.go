package node

import "goldcrestfork/fleet/rendezvous"

// coldVMs bounds the VMs that may send to one cold endpoint. Each may send one request
// at once; with six of them and an endpoint's usual rate of ten a second, a second sees
// at most sixteen, within the overshoot that endpoints bear.
const coldVMs = 6

// coldShare is this VM's part of a cold endpoint's rate.
func coldShare(vms []string, self, endpoint string, rate float64) float64 {
	k := min(coldVMs, len(vms))
	if place := rendezvous.Place(endpoint, self, vms); place < 0 || place >= k {
		return 0
	}
	return rate / float64(k)
}
