package transporter

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// alpnProtocol is the ALPN protocol name. A change of the wire format that older processes can't read needs a new name.
const alpnProtocol = "hibiscusline/1"

// Credentials holds a process's certificate and the certificate authority that signs the certificates of its peers.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// LoadCredentials reads credentials from PEM files.
func LoadCredentials(authority, certificate, key string) (Credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "load certificate and key")
	}
	data, err := os.ReadFile(authority)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return Credentials{}, errors.Errorf("certificate authority file %s contains no valid certificate", authority)
	}
	return Credentials{Certificate: pair, Authority: pool}, nil
}

func (c Credentials) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.Authority,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
	}
}

func (c Credentials) client() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.Certificate},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		// VerifyConnection checks the certificate chain; names are not checked.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s.PeerCertificates, c.Authority)
		},
	}
}

func verifyChain(chain []*x509.Certificate, authority *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}

// resetKey derives the stateless reset key from the private key. A process that restarts with the same private key can
// then immediately reset its peers' connections from before the restart.
func (c Credentials) resetKey() (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.Certificate.PrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "encode private key")
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(alpnProtocol), der...)))
	return &key, nil
}

// encodePEM returns one PEM block.
func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
