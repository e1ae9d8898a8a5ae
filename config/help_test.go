package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
)

// smallSnapshot returns a valid configuration with objects of all kinds, which tests then
// modify.
func smallSnapshot() *Snapshot {
	s := &Snapshot{}
	s.put(&DataCentre{Meta: Meta{Name: "norte-a"}, Region: "norte", State: DataCentreIn})
	s.put(&ModelVersion{Meta: Meta{Name: "asistente-1", Labels: map[string]string{"model": "asistente"}}, Model: "asistente", State: VersionServing, Quality: 0.7})
	s.put(&ModelVersion{Meta: Meta{Name: "asistente-2", Labels: map[string]string{"model": "asistente"}}, Model: "asistente", State: VersionServing, Quality: 0.9})
	s.put(&Service{Meta: Meta{Name: "conector", Labels: map[string]string{"use": "till"}}, Calls: []Call{{Method: "GET", Path: "/till/", Idempotent: true}}})
	s.put(&Endpoint{Meta: Meta{Name: "e1"}, Address: "10.0.0.1:9000", DataCentre: "norte-a", Versions: []string{"asistente-1"}, Slots: 8, ColdSlots: 1, State: EndpointServing})
	s.put(&RollOut{Meta: Meta{Name: "r1"}, Model: "asistente", From: "asistente-1", To: "asistente-2", Steps: []float64{5, 50, 100}, State: RollOutRunning})
	s.put(&ClientAccount{Meta: Meta{Name: "baker"}, KeyHashes: []string{keyHash("baker")}, Versions: Selector{"model": {"asistente"}}})
	return s
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// labelSeed seeds the labels of the configurations for measurements.
const labelSeed = 11

// sizedSnapshot returns a configuration with this number of endpoints, and with model versions,
// data centres and accounts in the proportions of the expected deployment.
func sizedSnapshot(endpoints int) *Snapshot {
	rng := rand.New(rand.NewPCG(labelSeed, 0))
	s := &Snapshot{}
	versions, centres, accounts := max(1, endpoints*19/2000), max(1, endpoints*19/2000), max(1, endpoints*300/2000)
	for i := range centres {
		s.put(&DataCentre{Meta: Meta{Name: fmt.Sprintf("dc-%02d", i)}, Region: fmt.Sprintf("region-%d", i%5), State: DataCentreIn})
	}
	for i := range versions {
		s.put(&ModelVersion{Meta: Meta{Name: fmt.Sprintf("model-%d-v%d", i/2, i%2), Labels: map[string]string{"model": fmt.Sprintf("model-%d", i/2)}},
			Model: fmt.Sprintf("model-%d", i/2), State: VersionServing, Cost: int64(i), Quality: 0.5})
	}
	for i := range endpoints {
		s.put(&Endpoint{Meta: Meta{Name: fmt.Sprintf("runner-%04d", i), Revision: rng.Int64N(800_000), Labels: map[string]string{"rack": fmt.Sprintf("r%03d", rng.IntN(200)), "pool": "main"}},
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i%centres, i/250, 1+i%250), DataCentre: fmt.Sprintf("dc-%02d", i%centres),
			Versions: []string{fmt.Sprintf("model-%d-v%d", i%versions/2, i%versions%2)}, Slots: 64, ColdSlots: 4, State: EndpointServing})
	}
	for i := range accounts {
		s.put(&ClientAccount{Meta: Meta{Name: fmt.Sprintf("account-%03d", i), Labels: map[string]string{"tier": "b"}}, KeyHashes: []string{keyHash(fmt.Sprint(i))},
			Weight: 1, Class: ClassInteractive, Versions: Selector{"model": {"model-0"}}, Quality: 0.8})
	}
	return s
}
