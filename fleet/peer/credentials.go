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

// protocol is the ALPN name; it changes with the wire format.
const protocol = "goldcrestfork-peer/1"

// Credentials authenticate a VM to its peers.
type Credentials struct {
	// Certificate contains the VM id as the subject's common name, and the private key.
	Certificate tls.Certificate
	// CA holds the roots that peers' certificates must chain to.
	CA *x509.CertPool
}

// LoadCredentials reads the CA's certificates, this VM's certificate and its key from
// PEM files.
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

// ParseCredentials parses PEM data in memory like LoadCredentials.
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

// ID returns the VM id in the certificate.
func (c Credentials) ID() string { return c.Certificate.Leaf.Subject.CommonName }

// verify checks a peer's certificate chain and returns the VM id in it. Peers are
// dialled by IP address and new VMs take over addresses, so the certificate proves the
// VM id and not the address.
func (c Credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{Roots: c.CA, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return "", err
	}
	if leaf.Subject.CommonName == "" {
		return "", errors.New("peer's certificate names no VM")
	}
	return leaf.Subject.CommonName, nil
}

// serverTLS returns the server's TLS configuration. It requests a client certificate
// and verifies it in VerifyConnection, so that refusals are counted; with
// tls.RequireAndVerifyClientCert the listener would not report them.
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

// clientTLS returns the TLS configuration of a client that accepts only the VM id, or
// any VM of the fleet if id is empty.
func (c Credentials) clientTLS(id string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.Certificate},
		NextProtos:   []string{protocol},
		// The default verification compares names with the address dialled;
		// VerifyConnection verifies the chain and the VM id instead.
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

// resetKey returns the stateless reset key, which is the same in each process with this
// certificate. A restarted process can therefore end the connections of its
// predecessor; without it peers would send into them until the idle timeout.
func (c Credentials) resetKey() *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(protocol), c.Certificate.Leaf.Signature...)))
	return &key
}
