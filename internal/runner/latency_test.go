package runner_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkAddedLatency alternates requests to a stand-in server with requests to
// it through an entry instance, and reports the median latency of both.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b)
	secret, _ := f.createKey("members", "")
	f.eventually("key works", func() error { return f.checkChat("n1", secret, http.StatusOK, "") })
	body := strings.Replace(chatBody, `"stream":true,`, "", 1)
	directURL := "http://" + f.announcers["engine-n"].Address.String()
	proxiedURL := "http://" + f.gates["n1"].CallerAddress.String()
	var directTimes, proxiedTimes []time.Duration
	for b.Loop() {
		directTimes = append(directTimes, measureRequest(b, directURL, "", body))
		proxiedTimes = append(proxiedTimes, measureRequest(b, proxiedURL, secret, body))
	}
	b.ReportMetric(median(directTimes), "us-direct")
	b.ReportMetric(median(proxiedTimes), "us-through-gate")
	b.ReportMetric(0, "ns/op")
}

func measureRequest(b *testing.B, base, secret, body string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(b, err)
	request.Header.Set("Authorization", "Bearer "+secret)
	begun := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	assert.NilError(b, response.Body.Close())
	return time.Since(begun)
}

func median(values []time.Duration) float64 {
	slices.Sort(values)
	return float64(values[len(values)/2].Microseconds())
}
