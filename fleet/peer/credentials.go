package peer

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
)

// protocol is the ALPN name; a change of the wire format changes it.
const protocol = "goldcrestfork-peer/1"

// Credentials prove a VM to its peers.
type Credentials struct {
	// Certificate names the VM in its subject's common name and carries its key.
	Certificate tls.Certificate
	// CA holds the roots that peers' certificates must chain to.
	CA *x509.CertPool
}

// LoadCredentials reads PEM files: the CA's certificates, this VM's certificate and its key.
func LoadCredentials(caFile, certFile, keyFile string) (Credentials, error) {
	caPEM, err := os.ReadFile(caFile)
	if err != nil {
		return Credentials{}, trace.ConvertSystemError(err)
	}
	certPEM, err := os.ReadFile(certFile)
	if err != nil {
		return Credentials{}, trace.ConvertSystemError(err)
	}
	keyPEM, err := os.ReadFile(keyFile)
	if err != nil {
		return Credentials{}, trace.ConvertSystemError(err)
	}
	return ParseCredentials(caPEM, certPEM, keyPEM)
}

// ParseCredentials is LoadCredentials for PEM already in memory.
func ParseCredentials(caPEM, certPEM, keyPEM []byte) (Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return Credentials{}, trace.BadParameter("CA file holds no certificate")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return Credentials{}, trace.BadParameter("certificate and key: %v", err)
	}
	if cert.Leaf == nil || cert.Leaf.Subject.CommonName == "" {
		return Credentials{}, trace.BadParameter("certificate names no VM in its common name")
	}
	return Credentials{Certificate: cert, CA: pool}, nil
}

// ID is the VM that the certificate names.
func (c Credentials) ID() string { return c.Certificate.Leaf.Subject.CommonName }

// verify checks a peer's chain and returns the VM it names. Peers are dialled by
// IP number and addresses are taken over by new VMs, so the name and not the
// address is what the certificate proves.
func (c Credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	options := x509.VerifyOptions{Roots: c.CA, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return "", err
	}
	if leaf.Subject.CommonName == "" {
		return "", errors.New("peer's certificate names no VM")
	}
	return leaf.Subject.CommonName, nil
}

// serverTLS asks for a certificate and checks it itself, so that a refusal is
// counted: with tls.RequireAndVerifyClientCert the listener would not show it.
func (c Credentials) serverTLS(refused func()) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.Certificate},
		NextProtos:             []string{protocol},
		ClientAuth:             tls.RequestClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.verify(state, x509.ExtKeyUsageClientAuth)
			if err != nil {
				refused()
			}
			return err
		},
	}
}

// clientTLS accepts only the VM id, any VM of the fleet when id is empty.
func (c Credentials) clientTLS(id string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.Certificate},
		NextProtos:   []string{protocol},
		// The library's own check compares names with the address dialled;
		// VerifyConnection replaces it by chain and VM id.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := c.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if id != "" && got != id {
				return errors.New("another VM answers at this address: " + got)
			}
			return nil
		},
	}
}

// resetKey is the same in each process with this certificate. A restarted
// process can then end connections of the one before it; without, peers would
// send into them until they idle out.
func (c Credentials) resetKey() *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(protocol), c.Certificate.Leaf.Signature...)))
	return &key
}
