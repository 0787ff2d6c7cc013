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

// BenchmarkAddedLatency calls a stand-in directly and through an entry
// instance, in turn, and reports both medians.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFleet(b)
	secret, _ := f.give("members", "")
	f.eventually("key works", func() error { return f.wants("n1", secret, http.StatusOK, "") })
	whole := strings.Replace(question, `"stream":true,`, "", 1)
	direct := "http://" + f.tellers["engine-n"].Address.String()
	through := "http://" + f.gates["n1"].CallerAddress.String()
	var directly, added []time.Duration
	for b.Loop() {
		directly = append(directly, timed(b, direct, "", whole))
		added = append(added, timed(b, through, secret, whole))
	}
	b.ReportMetric(median(directly), "us-direct")
	b.ReportMetric(median(added), "us-through-gate")
	b.ReportMetric(0, "ns/op")
}

func timed(b *testing.B, base, secret, body string) time.Duration {
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
