package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusline/applier"
	"hibiscusline/carrier"
	"hibiscusline/encoder"
	"hibiscusline/quarantiner"
)

// Headers of requests to the backend server.
const (
	HeaderService  = "Hibiscus-Service"
	HeaderKey      = "Hibiscus-Key"
	HeaderRange    = "Hibiscus-Range"
	HeaderEpoch    = "Hibiscus-Epoch"
	HeaderDeadline = "Hibiscus-Deadline-Ms"
	HeaderParent   = "Hibiscus-Parent"
)

// connectTimeout bounds the time to open a connection.
const connectTimeout = time.Second

// crashProbeTimeout bounds each connection attempt that distinguishes a crashed server from a broken connection.
const crashProbeTimeout = 250 * time.Millisecond

// maxResponseHeaderBytes bounds the status line and the header fields of a response.
const maxResponseHeaderBytes = 64 << 10

// reservedConnections is the number of connections reserved for the health probe and for the probe after a broken
// connection.
const reservedConnections = 1

// backend sends requests to the backend server.
type backend struct {
	mu sync.Mutex
	// client opens at most limit connections.
	client *http.Client
	limit  int
	// lost is set after a failed connection and cleared by an announcement or a successful call.
	lost atomic.Bool
}

func newBackend(connections int) *backend {
	b := &backend{}
	b.setLimit(connections)
	return b
}

// setLimit sets the number of connections that the server has announced, including those for probes. Calls in flight
// keep their connections. It returns the number of calls that can run concurrently.
func (b *backend) setLimit(connections int) int {
	limit := max(connections-reservedConnections, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit == b.limit {
		return limit
	}
	if b.client != nil {
		b.client.CloseIdleConnections()
	}
	b.limit = limit
	b.client = &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost: limit, MaxIdleConnsPerHost: limit, IdleConnTimeout: time.Minute,
			DisableCompression: true, ResponseHeaderTimeout: 0, MaxResponseHeaderBytes: maxResponseHeaderBytes,
			DialContext: dial,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return limit
}

// dial opens a connection whose reads also report an abort that a write learned of first.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return carrier.ReportAborts(c), nil
}

func (b *backend) currentClient() *http.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.client
}

// opaqueBody hides the type of a body. When a connection breaks, the HTTP client resends a request with an
// Idempotency-Key header if the body is empty or can be read again, so the request could run twice.
type opaqueBody struct{ io.Reader }

// Close does nothing, because the body belongs to the stream.
func (opaqueBody) Close() error { return nil }

// callResult is the result of one call to the backend server.
type callResult struct {
	response *http.Response
	err      error
	// connected means that the request may have reached the server, and reused that its connection had carried others.
	connected, reused bool
	// malformed means that the head is not a valid HTTP request and nothing was sent.
	malformed bool
}

// provesNotRun reports whether the response proves that the server has not run the request with a token. A faulty server
// may write an earlier refusal once more on a kept connection, so there it must name the request.
func (c callResult) provesNotRun(token string) bool {
	return c.response.Header.Get(HeaderFenced) == FencedNotRun &&
		(!c.reused || c.response.Header.Get(HeaderParent) == token)
}

// call sends a request to the backend server once. The token identifies it as the parent of nested calls.
func (b *backend) call(ctx context.Context, address netip.AddrPort, head encoder.Request, a applier.Assignment, token string, body io.Reader) callResult {
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(i.Reused)
		},
	})
	target := "http://" + address.String() + head.Path
	request, err := http.NewRequestWithContext(ctx, head.Method, target, opaqueBody{body})
	if err != nil {
		return callResult{err: err, malformed: true}
	}
	request.ContentLength = head.Length
	for name, values := range head.Header {
		request.Header[name] = values
	}
	// Grant headers set by the caller must not reach a backend server that checks grants.
	request.Header.Del(HeaderRange)
	request.Header.Del(HeaderEpoch)
	request.Header.Del(HeaderDeadline)
	request.Header.Set(HeaderService, head.Service)
	request.Header.Set(HeaderParent, token)
	if head.Keyed {
		request.Header.Set(HeaderKey, head.Key)
		request.Header.Set(HeaderRange, a.Range.String())
		request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(a.Epoch), 10))
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		// The deadline is absolute, so that a backend server that was frozen doesn't run a request late. Both processes
		// run on the same instance and share its clock.
		request.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	client := b.currentClient()
	response, err := client.Do(request)
	if err == nil {
		if err = carrier.CheckResponse(response); err != nil {
			_ = response.Body.Close()
			// The connection of a response without a body is idle already.
			client.CloseIdleConnections()
			response = nil
		}
	}
	return callResult{response: response, err: err, connected: connected.Load(), reused: reused.Load()}
}

// refusesConnections reports whether the server refuses a connection now or during the next probes.
func (b *backend) refusesConnections(address netip.AddrPort) bool {
	return quarantiner.ProbeConnections(address, crashProbeTimeout) != nil
}

// BackendReachable reports whether the backend server accepts connections.
func (d *Dispatcher) BackendReachable() bool {
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	return !d.backend.refusesConnections(address)
}
