package transporter

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"hibiscusline/timer"
)

// Stream is a bidirectional QUIC stream for one exchange between two processes.
type Stream = quic.Stream

// Error codes of stream resets.
const (
	// ResetCancelled means that the sender of the reset has cancelled the exchange.
	ResetCancelled quic.StreamErrorCode = 1
	// ResetTruncated means that the body could not be sent completely.
	ResetTruncated quic.StreamErrorCode = 2
)

const (
	defaultIdleTimeout = 60 * time.Second
	defaultDialTimeout = time.Second
	// maxStreams is the maximum number of streams that one peer may have open at a time.
	maxStreams = 10000
	// maxQueuedDatagrams is the number of datagrams that wait for a peer. QUIC holds them back while many are unacknowledged.
	maxQueuedDatagrams = 32
)

// Config configures a Transporter.
type Config struct {
	Listen      netip.AddrPort
	Credentials Credentials
	// HandleStream serves a stream that a peer opened. The context ends with the connection.
	HandleStream func(context.Context, *Stream)
	// HandleDatagram handles a received datagram. It must not block.
	HandleDatagram func(from netip.AddrPort, payload []byte)
	// DialTimeout bounds the establishment of a connection. Zero means one second.
	DialTimeout time.Duration
}

// Transporter holds the UDP socket of a process and its connections.
type Transporter struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	address   netip.AddrPort
	context   context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	// open holds all open connections, including those that have been replaced in peers.
	open          map[*quic.Conn]*peer
	closedTraffic Traffic

	// lastAccepted is the time of the last accepted connection by the clock of package timer.
	lastAccepted atomic.Int64
	dials        atomic.Int64
	dialFailures atomic.Int64
	sent         atomic.Int64
	dropped      atomic.Int64
	silences     atomic.Int64
}

// peer is the connection to one address. ready is closed when the connection is established or has failed.
type peer struct {
	address    netip.AddrPort
	ready      chan struct{}
	connection *quic.Conn
	// own is the transport of a connection that has a socket of its own.
	own *quic.Transport
	err error
	// datagrams holds the datagrams that are to be sent.
	datagrams chan []byte

	mu sync.Mutex
	// awaited holds the streams on which an answer is awaited, and whether they fail when the connection goes silent.
	awaited map[*AwaitedStream]bool
	silent  bool
	// received is the number of packets received before the last quietIntervals.
	received       uint64
	quietIntervals int
}

func newPeer(address netip.AddrPort) *peer {
	return &peer{
		address: address, ready: make(chan struct{}), datagrams: make(chan []byte, maxQueuedDatagrams),
		awaited: map[*AwaitedStream]bool{},
	}
}

// Listen opens the socket and serves it until Close.
func Listen(c Config) (*Transporter, error) {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	key, err := c.Credentials.resetKey()
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: key}
	listener, err := transport.Listen(c.Credentials.server(), quicConfig())
	if err != nil {
		return nil, errors.Wrap(errors.WithMessage(err, closeResult(socket.Close())), "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transporter{
		config: c, transport: transport, listener: listener, context: ctx, cancel: cancel,
		address: socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		peers:   map[netip.AddrPort]*peer{}, open: map[*quic.Conn]*peer{},
	}
	t.tasks.Go(t.accept)
	t.tasks.Go(t.watchSilence)
	return t, nil
}

func closeResult(err error) string {
	if err != nil {
		return "close: " + err.Error()
	}
	return "socket closed"
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        defaultIdleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
		// Smaller initial windows keep the memory use of a connection low; they grow with use.
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 128 << 10,
	}
}

// Address returns the address on which peers reach this process.
func (t *Transporter) Address() netip.AddrPort { return t.address }

// LastAccepted returns the time of the last connection accepted from a peer, by the clock of package timer, or zero if
// there was none.
func (t *Transporter) LastAccepted() time.Duration { return time.Duration(t.lastAccepted.Load()) }

// Counts returns the numbers of dials, failed dials, sent datagrams and dropped datagrams.
func (t *Transporter) Counts() (dials, failures, sent, dropped int64) {
	return t.dials.Load(), t.dialFailures.Load(), t.sent.Load(), t.dropped.Load()
}

// Silences returns the number of connections that have gone silent while an answer was awaited.
func (t *Transporter) Silences() int64 { return t.silences.Load() }

// Connections returns the number of peers with a connection that is open or being established.
func (t *Transporter) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Close closes all connections and waits for their goroutines to end.
func (t *Transporter) Close() error {
	t.cancel()
	listenErr := t.listener.Close()
	t.mu.Lock()
	for _, p := range t.peers {
		if p.connection != nil {
			// An error only repeats why the connection had ended before.
			_ = p.connection.CloseWithError(0, "stopping")
		}
	}
	t.mu.Unlock()
	if err := t.transport.Close(); err != nil {
		return errors.Wrap(err, "close transport")
	}
	closeErr := t.transport.Conn.Close()
	t.tasks.Wait()
	if listenErr != nil {
		return errors.Wrap(listenErr, "close listener")
	}
	return errors.Wrap(closeErr, "close socket")
}

func (t *Transporter) accept() {
	for {
		connection, err := t.listener.Accept(t.context)
		if err != nil {
			return
		}
		t.lastAccepted.Store(int64(timer.Now()))
		p := newPeer(remoteAddress(connection))
		p.connection = connection
		close(p.ready)
		t.mu.Lock()
		// A peer dials when it has no connection, so an existing connection probably belongs to an earlier process at
		// its address.
		if older, present := t.peers[p.address]; !present || older.connection != nil {
			t.peers[p.address] = p
		}
		t.mu.Unlock()
		t.serve(p)
	}
}

func remoteAddress(c *quic.Conn) netip.AddrPort {
	address := c.RemoteAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// serve starts the goroutines of a connection.
func (t *Transporter) serve(p *peer) {
	t.trackOpen(p)
	t.tasks.Go(func() {
		defer t.closed(p)
		for {
			stream, err := p.connection.AcceptStream(t.context)
			if err != nil {
				return
			}
			t.tasks.Go(func() { t.config.HandleStream(p.connection.Context(), stream) })
		}
	})
	t.tasks.Go(func() { t.sendDatagrams(p) })
	t.tasks.Go(func() {
		for {
			payload, err := p.connection.ReceiveDatagram(t.context)
			if err != nil {
				return
			}
			if len(payload) > 0 {
				t.config.HandleDatagram(p.address, payload)
			}
		}
	})
}

// closed releases what belongs to a connection that has ended, or ends because this process stops.
func (t *Transporter) closed(p *peer) {
	t.removePeer(p)
	t.trackClosed(p.connection)
	if p.own != nil {
		// Nothing is sent on the socket any more, so an error has no effect.
		_ = closeOwn(p.own)
	}
}

func (t *Transporter) removePeer(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
}

// Open opens a stream to the process at an address. After an error, nothing has been sent on the stream. The caller must
// release the stream.
func (t *Transporter) Open(ctx context.Context, address netip.AddrPort) (*AwaitedStream, error) {
	p := t.connect(address)
	select {
	case <-p.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.err != nil {
		return nil, p.err
	}
	stream, err := p.connection.OpenStreamSync(ctx)
	if err != nil {
		if p.connection.Context().Err() != nil {
			t.removePeer(p)
		}
		return nil, errors.Wrap(err, "open stream")
	}
	return p.await(stream), nil
}

// connect returns the peer at an address, and starts to dial if there is no usable connection.
func (t *Transporter) connect(address netip.AddrPort) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, present := t.peers[address]
	if present && (p.connection == nil || p.connection.Context().Err() == nil) {
		return p
	}
	p = newPeer(address)
	t.peers[address] = p
	t.tasks.Go(func() { t.dial(p, t.dialFromSharedSocket) })
	return p
}

// dialer dials a connection. It returns the transport of the connection if that has a socket of its own.
type dialer func(context.Context, netip.AddrPort) (*quic.Conn, *quic.Transport, error)

func (t *Transporter) dial(p *peer, dial dialer) {
	ctx, cancel := context.WithTimeout(t.context, t.config.DialTimeout)
	defer cancel()
	t.dials.Add(1)
	connection, own, err := dial(ctx, p.address)
	if err != nil {
		t.dialFailures.Add(1)
		p.err = errors.Wrapf(err, "connect to %s", p.address)
		t.removePeer(p)
		close(p.ready)
		return
	}
	t.mu.Lock()
	p.connection, p.own = connection, own
	t.mu.Unlock()
	close(p.ready)
	t.serve(p)
}

func (t *Transporter) dialFromSharedSocket(ctx context.Context, address netip.AddrPort) (*quic.Conn, *quic.Transport, error) {
	connection, err := t.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), t.config.Credentials.client(), quicConfig())
	return connection, nil, err
}

// Redial makes the next use of an address dial a new connection, for a peer that may have restarted there. Streams on
// the current connection continue.
func (t *Transporter) Redial(address netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil && p.connection != nil {
		delete(t.peers, address)
	}
}

// SendDatagram sends a datagram without waiting. It drops the datagram if there is no connection yet, and then starts to
// dial, or if too many wait for a peer that doesn't acknowledge them.
func (t *Transporter) SendDatagram(address netip.AddrPort, payload []byte) {
	p := t.connect(address)
	select {
	case <-p.ready:
	default:
		t.dropped.Add(1)
		return
	}
	if p.err != nil {
		t.dropped.Add(1)
		return
	}
	select {
	case p.datagrams <- payload:
	default:
		t.dropped.Add(1)
	}
}

// sendDatagrams sends the datagrams for a peer until its connection ends.
func (t *Transporter) sendDatagrams(p *peer) {
	for {
		select {
		case <-p.connection.Context().Done():
			return
		case payload := <-p.datagrams:
			if err := p.connection.SendDatagram(payload); err != nil {
				t.dropped.Add(1)
				continue
			}
			t.sent.Add(1)
		}
	}
}
