// Package certifier creates the private certificate authority, and the certificates
// by which the system's processes and operators authenticate each other.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// Role says what the holder of a certificate may do.
type Role string

// The roles.
const (
	RoleGate     Role = "gate"
	RoleKeeper   Role = "keeper"
	RoleOperator Role = "operator"
)

// Validity periods and serial number size of new certificates. They are valid from
// clockSkew before their creation, for hosts whose clocks are behind.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 2 * 365 * 24 * time.Hour
	clockSkew           = time.Hour
	serialBits          = 120
)

// The permissions of folders and files that this package writes.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// OpenAuthority reads the authority in a folder, or creates one if the folder has
// no authority key.
func OpenAuthority(folder string) (*Authority, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pair, err := tls.LoadX509KeyPair(authorityPath(folder, "pem"), authorityPath(folder, "key"))
	if err == nil {
		return authorityFromPair(pair)
	}
	if _, missing := os.Stat(authorityPath(folder, "key")); missing == nil {
		return nil, trace.Wrap(err)
	}
	return newAuthority(folder)
}

func authorityPath(folder, extension string) string {
	return filepath.Join(folder, "authority."+extension)
}

func authorityFromPair(pair tls.Certificate) (*Authority, error) {
	certificate, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, trace.Wrap(err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, trace.BadParameter("the authority's key is not an ECDSA key")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

func newAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := newTemplate(pkix.Name{CommonName: "boragehead authority"}, authorityValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	authority := &Authority{certificate: template, key: key}
	if err := authority.write(authorityPath(folder, ""), template, key); err != nil {
		return nil, err
	}
	return OpenAuthority(folder)
}

// Issue writes NAME.pem and NAME.key for a process or an operator. The certificate
// is valid for the DNS name NAME and for the addresses.
func (a *Authority) Issue(folder, name string, role Role, addresses []net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	subject := pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}}
	template := newTemplate(subject, certificateValidity)
	template.DNSNames = []string{name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.write(filepath.Join(folder, name+"."), template, key)
}

func newTemplate(subject pkix.Name, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}
}

// write signs a certificate and writes it to PREFIXpem and its key to PREFIXkey.
func (a *Authority) write(prefix string, template *x509.Certificate, key *ecdsa.PrivateKey) error {
	signed, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return trace.Wrap(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writePEM(prefix+"key", "EC PRIVATE KEY", private); err != nil {
		return err
	}
	return writePEM(prefix+"pem", "CERTIFICATE", signed)
}

func writePEM(path, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return trace.ConvertSystemError(os.WriteFile(path, text, fileMode))
}
