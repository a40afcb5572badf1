package transporter

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// CertificateAuthority signs process certificates for tests, the demo and experiments. Production fleets use the
// platform's own certificate authority.
type CertificateAuthority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewCertificateAuthority creates a certificate authority with a new key.
func NewCertificateAuthority(validity time.Duration) (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	template := certificateTemplate("hibiscusline authority", validity)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	return &CertificateAuthority{certificate: certificate, key: key}, nil
}

// CredentialFiles holds the paths of a process's PEM files.
type CredentialFiles struct {
	Authority   string
	Certificate string
	Key         string
}

// Issue signs a certificate for a process and writes its credentials to a directory as three PEM files.
func (a *CertificateAuthority) Issue(directory, name string, validity time.Duration) (CredentialFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return CredentialFiles{}, errors.Wrap(err, "generate the process's key")
	}
	template := certificateTemplate(name, validity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return CredentialFiles{}, errors.Wrap(err, "sign the process certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return CredentialFiles{}, errors.Wrap(err, "encode the process's key")
	}
	files := CredentialFiles{
		Authority:   filepath.Join(directory, "authority.pem"),
		Certificate: filepath.Join(directory, name+".pem"),
		Key:         filepath.Join(directory, name+".key"),
	}
	contents := map[string][]byte{
		files.Authority:   encodePEM("CERTIFICATE", a.certificate.Raw),
		files.Certificate: encodePEM("CERTIFICATE", der),
		files.Key:         encodePEM("PRIVATE KEY", keyDER),
	}
	for path, data := range contents {
		if err := replaceFile(path, data); err != nil {
			return CredentialFiles{}, errors.Wrap(err, "write credentials")
		}
	}
	return files, nil
}

// replaceFile replaces a file atomically, so that concurrent readers see the old or the new content. The certificate of
// the authority is rewritten with each issued certificate; without the atomic replacement, a process that started at
// that moment read an empty file.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

func certificateTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		// The system's random source does not fail on supported systems.
		panic(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}
