package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/exchanger"
)

// Times and bounds of one attempt.
const (
	dialTimeout = time.Second
	idleConns   = 64
	idleTimeout = 30 * time.Second
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 64 << 20
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
)

// target is where an attempt goes.
type target struct {
	base      string
	transport http.RoundTripper
	relay     bool
	// began, if set, is called when the first byte of a stream comes.
	began func()
}

func newTransport(keep bool) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !keep,
	}
}

// forwarded are the caller's headers that are passed on. No other is, so no
// key can be.
var forwarded = []string{"Content-Type", "Accept", "Accept-Language"}

// returned are the answer's headers that are passed back.
var returned = []string{"Content-Type", "Content-Language", "Retry-After", exchanger.HeaderOutcome, exchanger.HeaderUsage}

// exchange makes one attempt, and resumes its stream when that is cut. It
// returns the tokens that were generated, as far as they were seen.
func (s *Sender) exchange(ctx context.Context, x *exchanger.Exchange, t target) (verdict, int64) {
	stream := &stream{x: x, counters: s.counters, began: t.began}
	for resume := range maxResumes + 1 {
		result := s.send(ctx, x, t, stream)
		resumable := result == cut && stream.lastEvent != "" && ctx.Err() == nil && x.Attempt == ""
		if !resumable || resume == maxResumes {
			if result == cut {
				stream.fail(ctx)
			}
			return result, stream.tokens
		}
		s.counters.CountResume()
	}
	return cut, stream.tokens
}

// send makes one round trip.
func (s *Sender) send(ctx context.Context, x *exchanger.Exchange, t target, stream *stream) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), x, t, stream.lastEvent)
	if err != nil {
		return notRun
	}
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		klog.V(2).InfoS("attempt failed", "id", x.ID, "target", t.base, "connected", connected.Load(), "err", err)
		return stream.broken(connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(exchanger.HeaderRequestID); id != "" && id != x.ID {
		s.counters.CountCrossed()
		return stream.broken(true)
	}
	if refusedBeforeRunning(response) {
		return stream.broken(false)
	}
	if stream.started && response.StatusCode != http.StatusOK {
		return cut
	}
	if worthRetrying(response.StatusCode) {
		return stream.broken(true)
	}
	if isStream(response) {
		return stream.copy(response, cancel)
	}
	return s.whole(x, response)
}

func newRequest(ctx context.Context, x *exchanger.Exchange, t target, lastEvent string) (*http.Request, error) {
	uri := x.Request.URL.RequestURI()
	if t.relay {
		uri = RelayPrefix + uri
	}
	request, err := http.NewRequestWithContext(ctx, x.Request.Method, t.base+uri, bytes.NewReader(x.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport never sends a request a second time.
	request.GetBody = nil
	for _, name := range forwarded {
		if value := x.Request.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	setDecisionHeaders(request.Header, x, t)
	if x.Attempt != "" && t.relay {
		request.Header.Set(headerOnce, "true")
	}
	if lastEvent != "" {
		request.Header.Set("Last-Event-ID", lastEvent)
	}
	return request, nil
}

// RelayPrefix is where the peer port takes relayed requests.
const RelayPrefix = "/relay"

// headerOnce tells a peer that the work must not run twice.
const headerOnce = "Boragehead-Once"

// Once reports whether a relayed request must not run twice.
func Once(r *http.Request) bool {
	return r.Header.Get(headerOnce) == "true"
}

// refusedBeforeRunning reports whether the server itself says so.
func refusedBeforeRunning(response *http.Response) bool {
	said := response.Header.Get(exchanger.HeaderOutcome) == string(exchanger.OutcomeNotRun)
	return said && response.StatusCode >= http.StatusBadRequest
}

func worthRetrying(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.StatusCode == http.StatusOK
}

// whole reads an answer to its end before any of it reaches the caller.
func (s *Sender) whole(x *exchanger.Exchange, response *http.Response) verdict {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer || !complete(response, body) {
		return lost
	}
	x.Result.FirstByte = time.Now()
	x.Result.Status = response.StatusCode
	countUsage(x, response.Header, body)
	copyHeaders(x.Writer.Header(), response.Header)
	x.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.Writer.WriteHeader(response.StatusCode)
	_, _ = x.Writer.Write(body)
	return answered
}

// complete reports whether an answer ends with an end mark: its length, its
// last chunk, or failing both the end of a JSON value.
func complete(response *http.Response, body []byte) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return !isJSON(response) || json.Valid(body)
	}
	return isJSON(response) && json.Valid(body)
}

func isJSON(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "application/json")
}

func copyHeaders(to, from http.Header) {
	for _, name := range returned {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// usage is the part of an answer that tells what it cost.
type usage struct {
	Usage *struct {
		TotalTokens *int64 `json:"total_tokens"`
	} `json:"usage"`
}

func countUsage(x *exchanger.Exchange, header http.Header, body []byte) {
	if reported, err := strconv.ParseInt(header.Get(exchanger.HeaderUsage), 10, 64); err == nil && reported >= 0 {
		x.Result.Used, x.Result.Counted = reported, true
		return
	}
	if !bytes.Contains(body, []byte(`"usage"`)) {
		return
	}
	var reported usage
	if err := json.Unmarshal(body, &reported); err != nil || reported.Usage == nil || reported.Usage.TotalTokens == nil {
		return
	}
	if total := *reported.Usage.TotalTokens; total >= 0 {
		x.Result.Used, x.Result.Counted = total, true
	}
}
