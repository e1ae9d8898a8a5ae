package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/gravitational/trace"
)

// trialLife is how long certificates of a trial set hold: long enough for a
// trial, too short for someone to forget them in production.
const trialLife = 7 * 24 * time.Hour

// TrialSet is a CA with a certificate and key for each VM, in PEM, to try the
// system out and for tests. The CA's key is not kept, so nobody can add to it.
type TrialSet struct {
	CA []byte
	// VMs is keyed by VM id.
	VMs map[string]TrialVM
}

// TrialVM is one VM's part of a trial set.
type TrialVM struct {
	Certificate []byte
	Key         []byte
}

// NewTrialSet makes a fresh set, valid from an hour before now.
func NewTrialSet(now time.Time, ids ...string) (TrialSet, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return TrialSet{}, trace.Wrap(err)
	}
	ca := template(now, "goldcrestfork trial CA", 1)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return TrialSet{}, trace.Wrap(err)
	}
	set := TrialSet{CA: pemBlock("CERTIFICATE", der), VMs: make(map[string]TrialVM, len(ids))}
	for i, id := range ids {
		vm, err := newTrialVM(template(now, id, int64(i)+2), ca, caKey)
		if err != nil {
			return TrialSet{}, trace.Wrap(err, "VM %s", id)
		}
		set.VMs[id] = vm
	}
	return set, nil
}

// Credentials gives one VM's credentials from the set.
func (s TrialSet) Credentials(id string) (Credentials, error) {
	vm, ok := s.VMs[id]
	if !ok {
		return Credentials{}, trace.NotFound("VM %s is not in the trial set", id)
	}
	return ParseCredentials(s.CA, vm.Certificate, vm.Key)
}

func newTrialVM(cert, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (TrialVM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return TrialVM{}, err
	}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca, &key.PublicKey, caKey)
	if err != nil {
		return TrialVM{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return TrialVM{}, err
	}
	return TrialVM{Certificate: pemBlock("CERTIFICATE", der), Key: pemBlock("PRIVATE KEY", keyDER)}, nil
}

func template(now time.Time, name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(trialLife),
	}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
