package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/gravitational/trace"
)

// Identity is the name and role in a verified certificate.
type Identity struct {
	Name string
	Role Role
}

// Credentials hold a process's certificate and the authority that it trusts.
type Credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadCredentials reads PEM files: the authority's certificate, the process's
// certificate and its key.
func LoadCredentials(authority, certificate, key string) (Credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, trace.Wrap(err)
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return Credentials{}, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return Credentials{}, trace.BadParameter("%s holds no certificate", authority)
	}
	return Credentials{certificate: pair, authorities: pool}, nil
}

// ServerConfig returns the TLS configuration of a listener that accepts only clients
// with a certificate of the same authority.
func (c Credentials) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.authorities,
		NextProtos:   protocols,
	}
}

// ClientConfig returns the TLS configuration for connections to the process of the
// given name.
func (c Credentials) ClientConfig(name string, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authorities,
		ServerName:   name,
		NextProtos:   protocols,
	}
}

// PeerIdentity returns the identity of the other end of a verified connection.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 {
		return Identity{}, trace.AccessDenied("no verified certificate")
	}
	subject := state.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Identity{}, trace.AccessDenied("certificate of %q names no role", subject.CommonName)
	}
	return Identity{Name: subject.CommonName, Role: Role(subject.OrganizationalUnit[0])}, nil
}

// HasRole reports whether the identity has one of the roles.
func (i Identity) HasRole(roles ...Role) bool {
	return slices.Contains(roles, i.Role)
}
