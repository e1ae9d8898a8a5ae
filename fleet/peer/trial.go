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

// trialValidity is how long the certificates of a trial set are valid: long enough for
// a trial deployment, and too short to remain in production unnoticed.
const trialValidity = 7 * 24 * time.Hour

// TrialSet is a CA with a certificate and key per VM, in PEM, for trial
// deployments and tests. The CA's key is discarded, so no further VM can be added.
type TrialSet struct {
	// CA is the CA's certificate.
	CA []byte
	// VMs is keyed by VM id.
	VMs map[string]TrialVM
}

// TrialVM is one VM's part of a trial set.
type TrialVM struct {
	Certificate []byte
	Key         []byte
}

// NewTrialSet creates a set that is valid from one hour before now.
func NewTrialSet(now time.Time, ids ...string) (TrialSet, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return TrialSet{}, trace.Wrap(err)
	}
	ca := certTemplate(now, "goldcrestfork trial CA", 1)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return TrialSet{}, trace.Wrap(err)
	}
	set := TrialSet{CA: pemBlock("CERTIFICATE", der), VMs: make(map[string]TrialVM, len(ids))}
	for i, id := range ids {
		vm, err := newTrialVM(certTemplate(now, id, int64(i)+2), ca, caKey)
		if err != nil {
			return TrialSet{}, trace.Wrap(err, "VM %s", id)
		}
		set.VMs[id] = vm
	}
	return set, nil
}

// Credentials returns one VM's credentials.
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

func certTemplate(now time.Time, name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(trialValidity),
	}
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
