package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/matcher"
	"github.com/boragehead/boragehead/internal/placer"
)

// Timeouts and limits of connections.
const (
	// serverAckTimeout and relayAckTimeout bound how long sent data may stay
	// unacknowledged by a server of this region and by an instance of another
	// region. A sound server may fall silent for more than a second and go on; callers
	// leave a stream after two seconds without an event at the earliest.
	serverAckTimeout = 2500 * time.Millisecond
	relayAckTimeout  = 2500 * time.Millisecond
	// dialTimeout bounds the opening of a connection. It is well below a second
	// because the kernel retransmits a lost first packet only after a second.
	dialTimeout = 350 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. Servers close idle
	// connections after some seconds, and a request sent during such a close is
	// lost.
	idleTimeout    = 3 * time.Second
	maxIdlePerHost = 64
	// writeGrace is how long after a call's deadline its caller may still take the
	// response.
	writeGrace = 5 * time.Second
	// maxResponseHeadBytes bounds the head of a server's response together with the
	// interim responses before it. Servers and callers rarely accept more.
	maxResponseHeadBytes = 64 << 10
	// maxRelayedHeadBytes leaves room for what the other instance adds, so that it
	// passes on each head that it accepts.
	maxRelayedHeadBytes = maxResponseHeadBytes + 4<<10
	// maxResponseBytes bounds the body of a response that is not streamed.
	maxResponseBytes = 8 << 20
)

// newTransport returns a transport whose connections fail when sent data stays
// unacknowledged for ackTimeout, or when the head of a response exceeds
// maxHeadBytes.
func newTransport(ackTimeout time.Duration, maxHeadBytes int64) *http.Transport {
	return &http.Transport{
		DialContext:            matcher.Remember(newDialer(ackTimeout).DialContext),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         8 << 10, // bounds trailers, too
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// newDialer returns a dialer whose connections fail when sent data stays unacknowledged for
// ackTimeout. That also decides when keep-alive probes give up, whatever their count.
func newDialer(ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
}

// setAckTimeout bounds how long sent data may stay unacknowledged, by the socket
// option TCP_USER_TIMEOUT.
func setAckTimeout(raw syscall.RawConn, ackTimeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// sendToServer makes one attempt at a server of this region and ends its
// placement.
func (f *Forwarder) sendToServer(ctx context.Context, out *callerResponse, id uint64, decision placer.Decision) attemptResult {
	started := time.Now()
	firstByteAt := started
	out.onFirstByte = func() {
		f.fleet.RecordFirstEvent(id)
		firstByteAt = time.Now()
		took := firstByteAt.Sub(started)
		f.metrics.Observe("server-first-byte", took)
		if decision.PredictedFirstEvent > 0 && took > 0 {
			f.metrics.ObserveRatio("first-event-predicted-over-observed", decision.Server.Service, decision.PredictedFirstEvent.Seconds()/took.Seconds())
		}
	}
	out.breakCause = nil
	begin := f.crashes.Observe(*decision.Server, out.call.traits())
	out.onBegin = func() { f.crashes.NoteBegin(begin) }
	result, outcome := f.roundTrip(ctx, out, id, decision)
	f.reportConnectionEnd(out)
	f.crashes.Finish(begin, result == resultAnswered, out.call.record.received.framing == framingClose, out.call.record.connectionEnd)
	if ctx.Err() != nil && result != resultAnswered {
		outcome = placer.OutcomeAbandoned
	}
	if events := out.call.record.received.events; events > 0 && result == resultAnswered {
		f.fleet.RecordOutput(id, events)
		f.observeTokenTime(out.call, decision, events, time.Since(firstByteAt))
	}
	f.fleet.Finish(id, outcome)
	return result
}

// observeTokenTime compares the predicted time for the output of a complete stream of some
// events with the observed one, from the first event to the last.
func (f *Forwarder) observeTokenTime(call *Call, decision placer.Decision, events int, took time.Duration) {
	if call.Service.Engine == nil || decision.PredictedTokenTime <= 0 || events < 2 || took <= 0 {
		return
	}
	predicted := decision.PredictedTokenTime.Seconds() * float64((events-1)*call.Service.Engine.EventTokens)
	f.metrics.ObserveRatio("output-predicted-over-observed", decision.Server.Service, predicted/took.Seconds())
}

// roundTrip sends a call to a server and handles the response. It returns the
// result for the call and the outcome for the placer.
func (f *Forwarder) roundTrip(ctx context.Context, out *callerResponse, id uint64, decision placer.Decision) (attemptResult, placer.Outcome) {
	server := decision.Server
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := out.call
	metadata := ServerRequest{
		ID: call.ID, Server: server.Name, TimeLeft: time.Until(call.Deadline), Urgency: call.Urgency, LastEventID: out.lastEventID,
	}
	if decision.CopySource != nil {
		metadata.CopySource = decision.CopySource.Address
	}
	if call.Workspace != nil {
		metadata.Workspace = call.Workspace.Name
	}
	match := &matcher.Match{}
	request := newOutgoingRequest(match.Follow(ctx, call.ID), call, server.Address.String())
	f.dialect.SetServerHeaders(request.Header, metadata)
	response, err := f.serverTransport.RoundTrip(request)
	if err != nil {
		call.record.note = err.Error()
		if !match.Connected() {
			out.unreachedServers++
			return resultDeclined, placer.OutcomeUnreachable
		}
		call.record.offered++
		out.offeredToServer = true
		out.possibleRuns++
		out.breakCause = err
		return resultUnknown, placer.OutcomeFailed
	}
	defer func() { _ = response.Body.Close() }()
	call.record.offered++
	out.offeredToServer = true
	if info := f.dialect.DecodeResponse(response); info.ID == call.ID && !match.Repeated() && matcher.CheckHead(response) == nil {
		f.recordNotice(id, server.Name, info)
	}
	runsBefore := out.possibleRuns
	out.possibleRuns++ // until the server states that it did not run the request
	result, outcome := f.handleResponse(out, match, response)
	if result == resultDeclined {
		out.possibleRuns = runsBefore
	}
	return result, outcome
}

// recordNotice passes on what a server says about itself in a response.
func (f *Forwarder) recordNotice(id uint64, server string, info ResponseInfo) {
	if info.InvalidLimit != "" {
		f.metrics.Count("invalid-server-limits")
		if leftOut, ok := f.noticeLogLimiter.Allow(time.Now()); ok {
			klog.InfoS("server named a limit that is not a number of requests a second", "server", server,
				"limit", info.InvalidLimit[:min(len(info.InvalidLimit), maxNoteBytes)], "left-out", leftOut)
		}
	}
	if info.InvalidLoad != "" {
		f.metrics.Count("invalid-server-loads")
		if leftOut, ok := f.noticeLogLimiter.Allow(time.Now()); ok {
			klog.InfoS("server reported a load that cannot be decoded", "server", server,
				"load", info.InvalidLoad[:min(len(info.InvalidLoad), maxNoteBytes)], "left-out", leftOut)
		}
	}
	if info.Notice == (placer.Notice{}) {
		return
	}
	f.fleet.RecordNotice(id, info.Notice)
	info.Notice.Load = placer.ServerLoad{} // servers may report it in every response
	info.Notice.Unlimited, info.Notice.Sturdy = false, false
	if info.Notice != (placer.Notice{}) {
		f.metrics.Count("server-notices")
	}
}

// newOutgoingRequest returns a copy of a call's request for another host. The transport
// resends it on another connection only if nothing was written to a kept one.
func newOutgoingRequest(ctx context.Context, call *Call, host string) *http.Request {
	in := call.Request
	address := *in.URL
	address.Scheme, address.Host = "http", host
	keepPath(&address, sentPath(in))
	header := in.Header.Clone()
	removeHopByHopHeaders(header)
	for _, name := range resendHeaders {
		if values, present := header[name]; present {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	if _, present := header["User-Agent"]; !present {
		header["User-Agent"] = nil // otherwise net/http sends its own
	}
	request := (&http.Request{
		Method: in.Method, URL: &address, Host: in.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(call.Body)), Body: singleUseBody(call),
	}).WithContext(ctx)
	switch in.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace: // net/http would resend these whenever it can
	default:
		request.GetBody = func() (io.ReadCloser, error) { return singleUseBody(call), nil }
	}
	return request
}

// resendHeaders make net/http resend a request without a body by itself if a kept
// connection breaks. It does not find them under a name in lower case, which means
// the same to a server.
var resendHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// singleUseBody returns a body that keeps the transport from resending the
// request: net/http retries a GET without a body on its own, but no request whose
// body it can't rewind. For methods that usually have a body, an empty one must
// be http.NoBody, or net/http sends it chunked.
func singleUseBody(call *Call) io.ReadCloser {
	switch call.Request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if len(call.Body) == 0 {
			return http.NoBody
		}
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHopHeaders removes hopByHopHeaders and the headers that Connection
// lists.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range splitHeaderList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// handleResponse checks the headers of a response and forwards the response to
// the caller if it is a server's response to this request.
func (f *Forwarder) handleResponse(out *callerResponse, match *matcher.Match, response *http.Response) (attemptResult, placer.Outcome) {
	call := out.call
	call.record.received = receivedBody{framing: framingOf(response)}
	response.Body = countingReader{response.Body, &call.record.received.bytes}
	f.metrics.Count("responses-by-" + string(call.record.received.framing))
	info := f.dialect.DecodeResponse(response)
	out.checkClosed = func() error { return match.CheckClosed(response.Request.Context()) }
	switch {
	case matcher.CheckHead(response) != nil:
		// After a switch of protocols the body ends at no deadline.
		f.metrics.Count("malformed-responses")
		call.record.note = "malformed head, or an interim response as the last one, status " + strconv.Itoa(response.StatusCode)
		match.Discard()
		return resultUnknown, placer.OutcomeFailed
	case info.ID != "" && info.ID != call.ID:
		f.metrics.Count("answers-crossed")
		call.record.note = fmt.Sprintf("response belongs to another request, id %q, status %d", info.ID, response.StatusCode)
		return f.discardResponse(match, info)
	case info.NotRun && (info.ID == "" || match.Repeated()):
		call.record.note = fmt.Sprintf("refusal may be that of an earlier request, id %q, status %d", info.ID, response.StatusCode)
		return f.discardResponse(match, info)
	case info.NotRun:
		call.record.note = "server did not run the request, status " + strconv.Itoa(response.StatusCode)
		if info.OtherServer {
			return resultDeclined, placer.OutcomeUnreachable
		}
		return resultDeclined, placer.OutcomeDeclined
	case !info.Signed || info.ID == "" || response.Header.Get("Content-Encoding") != "":
		call.record.note = "response without signature or request id, or with a content encoding"
		if info.ID == "" {
			return f.discardResponse(match, info)
		}
		return resultUnknown, placer.OutcomeFailed
	}
	match.Answered()
	switch {
	case out.streamStarted && !isEventStream(response):
		return resultPartial, placer.OutcomeFailed
	case isEventStream(response):
		return out.forwardStream(response)
	}
	return out.forwardWhole(response)
}

// discardResponse closes the connection of a response that is not known to be the
// server's to this request, as those after it may not be either. The request may run.
func (f *Forwarder) discardResponse(match *matcher.Match, info ResponseInfo) (attemptResult, placer.Outcome) {
	if info.NotRun {
		f.metrics.Count("refusals-not-believed")
	}
	match.Discard()
	return resultUnknown, placer.OutcomeFailed
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// splitHeaderList splits a comma-separated header value and drops empty elements.
func splitHeaderList(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}
