package sender

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/detector"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/matcher"
	"github.com/boragehead/boragehead/internal/reserver"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Timeouts and limits of one attempt.
const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	// maxHeadBytes limits the head of a response together with the interim responses
	// before it.
	maxHeadBytes = 64 << 10
	// maxBufferedBytes limits the body of a response that is not streamed.
	maxBufferedBytes = 64 << 20
	// maxTotalBufferedBytes limits the memory for all of them together.
	maxTotalBufferedBytes = 256 << 20
	// maxResumes limits how often one stream is resumed.
	maxResumes = 3
)

// target is the backend server or instance that an attempt is sent to.
type target struct {
	baseURL   string
	transport http.RoundTripper
	isRelay   bool
	// onFirstByte, if set, is called before the first byte of a stream is
	// written to the caller.
	onFirstByte func()
	// sameStart, if set, reports whether no later start of the server is known.
	sameStart func() bool
	// observe, if set, starts to observe how an attempt begins at the server.
	observe func() *detector.Begin
}

// newTransport returns a transport with or without connection reuse.
func newTransport(keepAlive bool) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            matcher.Remember(dialer.DialContext),
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      !keepAlive,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// returnedHeaders are the only response headers that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Retry-After", exchanger.HeaderOutcome, exchanger.HeaderUsage}

// sendWithResume makes one attempt and resumes its stream, up to maxResumes
// times, if that ends early. A relayed stream is not resumed, because the other
// instance would run the request anew. A stream that still ends early is
// terminated with an error event. It also returns the number of events written to
// the caller, as an estimate of the tokens generated.
func (s *Sender) sendWithResume(ctx context.Context, x *exchanger.Exchange, t target) (attemptResult, int64) {
	stream := &streamCopier{x: x, counters: s.counters, onFirstByte: t.onFirstByte, isRelay: t.isRelay}
	for resumes := range maxResumes + 1 {
		result := s.observedRoundTrip(ctx, x, t, stream)
		resumable := result == attemptPartial && stream.canResume() && ctx.Err() == nil && x.ClaimID == "" && !t.isRelay
		if !resumable || resumes == maxResumes {
			if result == attemptPartial {
				stream.writeError(cutStreamRefusal(ctx))
			}
			return result, stream.tokens
		}
		if !s.mayRunAgain(x) || !t.sameStart() {
			stream.writeError(cutStreamRefusal(ctx))
			return result, stream.tokens
		}
		if refusal := s.recheckResume(ctx, x); refusal != nil {
			stream.writeError(refusal)
			return result, stream.tokens
		}
		s.counters.CountResume()
	}
	return attemptPartial, stream.tokens
}

// recheckResume returns the refusal to end a stream with if the request may not be
// sent to its server again.
func (s *Sender) recheckResume(ctx context.Context, x *exchanger.Exchange) *exchanger.Refusal {
	refusal := s.checker.Recheck(x)
	if refusal == nil && !slices.Contains(x.Pools, x.Result.Pool) {
		refusal = cutStreamRefusal(ctx)
	}
	return refusal
}

// observedRoundTrip makes a round trip and reports to the quarantine how it begins and
// ends.
func (s *Sender) observedRoundTrip(ctx context.Context, x *exchanger.Exchange, t target, stream *streamCopier) attemptResult {
	if t.observe == nil {
		return s.roundTrip(ctx, x, t, stream)
	}
	begin := t.observe()
	stream.onBegin = func() { s.crashes.NoteBegin(begin) }
	stream.breakCause = nil
	result := s.roundTrip(ctx, x, t, stream)
	s.crashes.Finish(begin, result == attemptAnswered, false, detector.EndOf(stream.breakCause))
	return result
}

// roundTrip sends the request once, from the stream's last event if there is one,
// and copies the response to the caller.
func (s *Sender) roundTrip(ctx context.Context, x *exchanger.Exchange, t target, stream *streamCopier) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	match := &matcher.Match{}
	request, err := newRequest(match.Follow(ctx, x.ID), x, t, stream.lastEvent)
	if err != nil {
		return attemptNotRun
	}
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		klog.V(2).InfoS("attempt failed", "id", x.ID, "target", t.baseURL, "connected", match.Connected(), "err", err)
		if match.Connected() {
			stream.breakCause = err
		}
		return stream.failedAttempt(match.Connected())
	}
	defer func() { _ = response.Body.Close() }()
	if matcher.CheckHead(response) != nil {
		// After a switch of protocols the body ends at no deadline.
		match.Discard()
		return stream.failedAttempt(true)
	}
	stream.checkClosed = func() error { return match.CheckClosed(ctx) }
	if id := response.Header.Get(exchanger.HeaderRequestID); id != "" && id != x.ID {
		s.counters.CountMismatched()
		match.Discard()
		return stream.failedAttempt(true)
	}
	if refusedBeforeRunning(response) && mayBeEarlier(response, match) {
		s.counters.CountDisbelieved()
		klog.V(2).InfoS("refusal may be that of an earlier request", "id", x.ID, "target", t.baseURL, "status", response.StatusCode,
			"its-id", response.Header.Get(exchanger.HeaderRequestID))
		match.Discard()
		return stream.failedAttempt(true)
	}
	if t.isRelay && declinedByNewer(response, x.Revision) {
		return attemptOutdated
	}
	if refusedBeforeRunning(response) {
		return stream.failedAttempt(false)
	}
	match.Answered()
	if stream.started && !isStream(response) {
		return attemptPartial
	}
	if isRetryableStatus(response.StatusCode) {
		return stream.failedAttempt(true)
	}
	if isStream(response) {
		if !stream.acceptVersion(response.Header.Get(exchanger.HeaderServerVersion)) {
			klog.InfoS("stream not resumed: the server has another version", "id", x.ID, "server", x.Result.Server,
				"began", stream.version, "version", response.Header.Get(exchanger.HeaderServerVersion))
			return attemptPartial
		}
		return stream.copyEvents(response, cancel)
	}
	return s.copyBuffered(x, response, stream)
}

// newRequest returns the request to a backend server or, with the relay prefix
// and headers, to another instance. A lastEvent resumes the stream after that
// event.
func newRequest(ctx context.Context, x *exchanger.Exchange, t target, lastEvent string) (*http.Request, error) {
	uri := x.Request.URL.RequestURI()
	if t.isRelay {
		uri = RelayPrefix + uri
	}
	request, err := http.NewRequestWithContext(ctx, x.Request.Method, t.baseURL+uri, bytes.NewReader(x.Body))
	if err != nil {
		return nil, err
	}
	switch x.Request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.GetBody = nil // with it, the transport would resend these whenever it can
	} // and others only if nothing was written to a kept connection
	for _, name := range exchanger.ForwardedHeaders {
		if value := x.Request.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	setRequestHeaders(request.Header, x, t)
	if t.isRelay {
		// The body is sent once the other instance has checked by its own
		// configuration that it may have it.
		request.Header.Set("Expect", "100-continue")
	}
	if x.ClaimID != "" && t.isRelay {
		request.Header.Set(headerRunOnce, "true")
	}
	if lastEvent != "" {
		request.Header.Set("Last-Event-ID", lastEvent)
	}
	return request, nil
}

// RelayPrefix is the path prefix of relayed requests on the port for peers.
const RelayPrefix = "/relay"

// headerRunOnce tells a peer that the request must not run twice.
const headerRunOnce = "Boragehead-Once"

// RunsOnce reports whether a relayed request must not run twice.
func RunsOnce(r *http.Request) bool {
	return r.Header.Get(headerRunOnce) == "true"
}

// refusedBeforeRunning reports whether the server states that it refused the
// request without running it.
func refusedBeforeRunning(response *http.Response) bool {
	notRunReported := response.Header.Get(exchanger.HeaderOutcome) == string(exchanger.OutcomeNotRun)
	return notRunReported && response.StatusCode >= http.StatusBadRequest
}

// mayBeEarlier reports whether a refusal may be one that the server wrote before, on the
// same connection. Servers need not name the request that they refuse.
func mayBeEarlier(response *http.Response, match *matcher.Match) bool {
	return match.Repeated() || match.Reused() && response.Header.Get(exchanger.HeaderRequestID) == ""
}

// declinedByNewer reports whether another instance declined a relayed request by a
// newer configuration than the given one.
func declinedByNewer(response *http.Response, revision tabler.Revision) bool {
	declinedBy, err := strconv.ParseUint(response.Header.Get(exchanger.HeaderRevision), 10, 64)
	return err == nil && tabler.Revision(declinedBy) > revision && refusedBeforeRunning(response)
}

func isRetryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// isStream reports whether a response is a successful stream of server-sent
// events.
func isStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.StatusCode == http.StatusOK
}

// copyBuffered reads a response to its end before it writes any of it to the
// caller, so that the caller never gets a part of it.
func (s *Sender) copyBuffered(x *exchanger.Exchange, response *http.Response, stream *streamCopier) attemptResult {
	memory := reserver.Reservation{Budget: &s.responseMemory}
	defer memory.Shrink(0)
	body, err := readJoined(response.Body, &memory)
	if err != nil {
		klog.V(2).InfoS("response dropped", "id", x.ID, "held", memory.Held(), "err", err)
	}
	if errors.Is(err, reserver.ErrExhausted) {
		return attemptLacksMemory
	}
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		err = stream.checkClosed()
	}
	if err != nil || !isComplete(response, body) {
		stream.breakCause = cmp.Or(err, io.ErrUnexpectedEOF)
		return attemptUnknown
	}
	if response.StatusCode < http.StatusMultipleChoices {
		stream.noteBegin()
	}
	x.Result.FirstByte = time.Now()
	x.Result.Status = response.StatusCode
	recordUsage(x, response.Header, body)
	copyReturnedHeaders(x.Writer.Header(), response.Header)
	x.Writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.Writer.WriteHeader(response.StatusCode)
	_, _ = x.Writer.Write(body)
	return attemptAnswered
}

// readJoined reads a body to its end, as one piece.
func readJoined(body io.Reader, memory *reserver.Reservation) ([]byte, error) {
	chunks, err := memory.ReadAll(body, maxBufferedBytes)
	if err != nil || len(chunks) == 1 {
		return slices.Concat(chunks...), err
	}
	if !memory.TryGrow(2 * memory.Held()) { // for a moment
		return nil, reserver.ErrExhausted
	}
	return slices.Concat(chunks...), nil
}

// isComplete reports whether a body that was read without an error is known to be
// complete: by its Content-Length, by its last chunk or, without either, because
// it is a valid JSON value that ends by itself. A JSON body must be valid in any
// case.
func isComplete(response *http.Response, body []byte) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return !isJSON(response) || json.Valid(body)
	}
	return isJSON(response) && json.Valid(body) && !endsWithDigit(body)
}

// endsWithDigit reports whether a JSON value is a number, of which more digits may
// be missing.
func endsWithDigit(value []byte) bool {
	value = bytes.TrimSpace(value)
	last := value[len(value)-1]
	return '0' <= last && last <= '9'
}

func isJSON(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "application/json")
}

func copyReturnedHeaders(to, from http.Header) {
	for _, name := range returnedHeaders {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// usage is the part of a response that reports the tokens used.
type usage struct {
	Usage *struct {
		TotalTokens *int64 `json:"total_tokens"`
	} `json:"usage"`
}

// recordUsage sets the usage of an exchange if the response header or, without
// it, the body reports one.
func recordUsage(x *exchanger.Exchange, header http.Header, body []byte) {
	if reported, err := strconv.ParseInt(header.Get(exchanger.HeaderUsage), 10, 64); err == nil && reported >= 0 {
		x.Result.UsedTokens, x.Result.UsageKnown = reported, true
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
		x.Result.UsedTokens, x.Result.UsageKnown = total, true
	}
}
