package runner_test

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/loader"
)

// TestCallersOverTLS restarts an instance with a certificate for its callers'
// port. The port serves HTTPS and refuses plain HTTP, and the directory lists
// the instance with an https URL.
func TestCallersOverTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	secret, _ := f.createKey("members", "")
	f.stopByName["n1"]()
	gate := f.gates["n1"]
	address := gate.CallerAddress.Addr().AsSlice()
	assert.NilError(t, f.authority.Issue(f.folder, "callers", "callers", []net.IP{address}))
	file := func(name string) string { return filepath.Join(f.folder, name) }
	gate.CallerTLS = &loader.CallerTLS{Certificate: file("callers.pem"), Key: file("callers.key")}
	f.gates["n1"] = gate
	f.startGate("n1")

	authorities := x509.NewCertPool()
	text, err := os.ReadFile(file("authority.pem"))
	assert.NilError(t, err)
	assert.Assert(t, authorities.AppendCertsFromPEM(text))
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}}
	defer transport.CloseIdleConnections()
	f.eventually("HTTPS is served", func() error {
		return checkChatOverTLS(transport, "https://"+gate.CallerAddress.String(), secret)
	})
	status, _ := f.post("n1", secret, "/v1/chat/completions", chatBody, nil)
	assert.Equal(t, status, http.StatusBadRequest, "plain HTTP was served")
	f.eventually("the directory lists it with https", func() error {
		response, err := http.Get("http://" + f.gates["n2"].CallerAddress.String() + "/v1/instances")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		listed, err := io.ReadAll(response.Body)
		if err == nil && !strings.Contains(string(listed), "https://"+gate.CallerAddress.String()) {
			err = fmt.Errorf("got %s", listed)
		}
		return err
	})
}

func checkChatOverTLS(transport *http.Transport, base, secret string) error {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(body), "[DONE]") {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
