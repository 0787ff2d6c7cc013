package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragehead/boragehead/internal/placer"
)

// Times and bounds of connections.
const (
	// serverSilence and relaySilence are how long sent bytes may stay
	// unacknowledged by a server of this region, and by an instance of another.
	serverSilence = 1500 * time.Millisecond
	relaySilence  = 2500 * time.Millisecond
	// dialTimeout bounds the opening of a connection: a lost first packet is
	// repeated by the kernel only after a second.
	dialTimeout = 350 * time.Millisecond
	// idleTimeout is how long a connection is kept unused. Servers close theirs
	// after some seconds; a request that meets such a close is lost.
	idleTimeout = 3 * time.Second
	idlePerHost = 64
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 8 << 20
)

func newTransport(silence time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error { return limitSilence(raw, silence) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      8 << 10,
	}
}

// limitSilence bounds how long sent bytes may stay unacknowledged.
func limitSilence(raw syscall.RawConn, silence time.Duration) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// send makes one attempt at a server of this region.
func (f *Forwarder) send(ctx context.Context, out *output, id uint64, decision placer.Decision) verdict {
	started := time.Now()
	out.began = func() {
		f.fleet.Began(id)
		f.counters.Observe("server-first-byte", time.Since(started))
	}
	result, outcome := f.exchange(ctx, out, decision)
	if ctx.Err() != nil && result != answered {
		outcome = placer.Dropped
	}
	f.fleet.Done(id, outcome)
	return result
}

// exchange makes one round trip to a server.
func (f *Forwarder) exchange(ctx context.Context, out *output, decision placer.Decision) (verdict, placer.Outcome) {
	server := decision.Server
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := out.call
	send := Send{
		ID: call.ID, Server: server.Name, Left: time.Until(call.Deadline), Urgency: call.Urgency, LastEvent: out.lastEvent,
	}
	if decision.Source != nil {
		send.Source = decision.Source.Address
	}
	if call.Workspace != nil {
		send.Workspace = call.Workspace.Name
	}
	request, connected := newRequest(ctx, call, server.Address.String())
	f.dialect.Dress(request.Header, send)
	response, err := f.servers.RoundTrip(request)
	if err != nil {
		call.trail.note = err.Error()
		if !connected.Load() {
			return declined, placer.Unreached
		}
		out.ran++
		return lost, placer.Failed
	}
	defer func() { _ = response.Body.Close() }()
	before := out.ran
	out.ran++ // as long as it does not say that it has not run the request
	result, outcome := f.judge(out, response)
	if result == declined {
		out.ran = before
	}
	return result, outcome
}

// newRequest copies a call's request for another host. It reports whether a
// connection was had for it.
func newRequest(ctx context.Context, call *Call, host string) (*http.Request, *atomic.Bool) {
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	in := call.Request
	address := *in.URL
	address.Scheme, address.Host = "http", host
	header := in.Header.Clone()
	removeHopHeaders(header)
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // the library would name itself
	}
	request := (&http.Request{
		Method: in.Method, URL: &address, Host: in.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(call.Body)), Body: bodyOf(call),
	}).WithContext(ctx)
	return request, connected
}

// bodyOf returns a body that the transport never sends a second time: it repeats
// a GET without a body by itself, but nothing whose body it cannot rewind. For
// the methods that have a body, an empty one must be plain to see, or it is sent
// in chunks.
func bodyOf(call *Call) io.ReadCloser {
	switch call.Request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if len(call.Body) == 0 {
			return http.NoBody
		}
	}
	return io.NopCloser(bytes.NewReader(call.Body))
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// judge reads an answer's head and passes the answer on if it is the one that
// was asked for.
func (f *Forwarder) judge(out *output, response *http.Response) (verdict, placer.Outcome) {
	call := out.call
	answer := f.dialect.Judge(response)
	switch {
	case answer.ID != "" && answer.ID != call.ID:
		f.counters.Count("answers-crossed")
		call.trail.note = "answer of another request"
		return lost, placer.Failed
	case answer.NotRun:
		call.trail.note = "declined with " + strconv.Itoa(response.StatusCode)
		return declined, placer.Declined
	case !answer.Genuine || answer.ID == "" || response.Header.Get("Content-Encoding") != "":
		call.trail.note = "not a server's answer"
		return lost, placer.Failed
	case out.started && !isStream(response):
		return broken, placer.Failed
	case isStream(response):
		return out.stream(response)
	}
	return out.whole(response)
}

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.StatusCode == http.StatusOK
}
