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
	"hibiscusline/encoder"
)

// Headers to the backend server.
const (
	HeaderService  = "Hibiscus-Service"
	HeaderKey      = "Hibiscus-Key"
	HeaderRange    = "Hibiscus-Range"
	HeaderEpoch    = "Hibiscus-Epoch"
	HeaderDeadline = "Hibiscus-Deadline-Ms"
	HeaderParent   = "Hibiscus-Parent"
)

// crashProbeTimeout bounds the connection attempt that tells a crashed server from a broken connection.
const crashProbeTimeout = 250 * time.Millisecond

// reservedConnections are left for the health probe and the probe after a broken connection.
const reservedConnections = 1

// backend calls the backend server.
type backend struct {
	mu sync.Mutex
	// client uses at most limit connections.
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

// setLimit sets the number of connections that the server announced, probes included. Calls in flight go on with the
// connections that they have. It returns the number of calls that can run at once.
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
			DisableCompression: true, ResponseHeaderTimeout: 0,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return limit
}

func (b *backend) currentClient() *http.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.client
}

// opaqueBody hides the type of a body. The HTTP client sends a request with an Idempotency-Key header again on its own
// when a connection breaks and the body is empty or known to be repeatable; that would run the request twice.
type opaqueBody struct{ io.Reader }

// Close does nothing; the body belongs to the stream.
func (opaqueBody) Close() error { return nil }

// exchange is one call to the backend server.
type exchange struct {
	response *http.Response
	err      error
	// connected means that the request may have reached the server.
	connected bool
	// malformed means that the head makes no HTTP request. Nothing was sent.
	malformed bool
}

func (b *backend) call(ctx context.Context, address netip.AddrPort, head encoder.Request, a applier.Assignment, token string, body io.Reader) exchange {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := "http://" + address.String() + head.Path
	request, err := http.NewRequestWithContext(ctx, head.Method, target, opaqueBody{body})
	if err != nil {
		return exchange{err: err, malformed: true}
	}
	request.ContentLength = head.Length
	for name, values := range head.Header {
		request.Header[name] = values
	}
	// What a caller sent under the names of a grant must not reach a backend server that checks grants.
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
		// The deadline is absolute, so that a backend server that was frozen doesn't run a late request. Both processes
		// are on one instance and share its clock.
		request.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	response, err := b.currentClient().Do(request)
	return exchange{response: response, err: err, connected: connected.Load()}
}

// Probes after a broken connection. A server that crashes may close its connections a little before its listener; with a
// single probe such a crash left no mark, and its request cost one more server.
const (
	crashProbes        = 4
	crashProbeInterval = 15 * time.Millisecond
)

// refusesConnections reports whether the server takes no connections now or in the next moment.
func (b *backend) refusesConnections(address netip.AddrPort) bool {
	for i := range crashProbes {
		if i > 0 {
			time.Sleep(crashProbeInterval)
		}
		connection, err := net.DialTimeout("tcp", address.String(), crashProbeTimeout)
		if err != nil {
			return true
		}
		// The probe sent nothing that closing could lose.
		_ = connection.Close()
	}
	return false
}

// BackendReachable reports whether the backend server takes connections.
func (d *Dispatcher) BackendReachable() bool {
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	return !d.backend.refusesConnections(address)
}
