package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"hibiscusline/acceptor"
	"hibiscusline/admitter"
	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/deduper"
	"hibiscusline/encoder"
	"hibiscusline/follower"
	"hibiscusline/loader"
	"hibiscusline/router"
	"hibiscusline/transporter"
	"hibiscusline/watcher"
)

// Config configures a Daemon.
type Config struct {
	Settings loader.DaemonSettings
	Logger   log.Logger
}

// ErrKilled is the cancellation cause that makes Run return at once, as if the process were killed: it hands over no
// ranges, finishes no requests and doesn't leave. It is for tools that run several daemons in one process.
var ErrKilled = errors.New("killed")

// Daemon is one hibiscusd process.
type Daemon struct {
	config    Config
	logger    log.Logger
	metrics   *metrics.Set
	client    *appender.Client
	state     *follower.Follower
	transport *transporter.Transporter
	router    *router.Router
	started   time.Time
	// addresses maps each address to the latest member there, as of offset addressesAt. Only one task accesses them.
	addresses   map[netip.AddrPort]applier.MemberID
	addressesAt applier.Offset

	// readTrigger wakes the task that reads the log.
	readTrigger chan struct{}
	// aheadPeers receives the peers that have applied a higher offset than this process.
	aheadPeers chan aheadPeer
	// announced is the highest offset that a peer has announced as applied.
	announced atomic.Uint64
	// lastHeard is the time of the last datagram from a peer, in nanoseconds since the start.
	lastHeard     atomic.Int64
	firstRetained atomic.Uint64

	mu sync.Mutex
	// current is the incarnation that is a member of the fleet, or nil without a backend server.
	current *incarnation
	backend backendState
	// resigning means that the previous incarnation is still handing over its ranges.
	resigning bool
	// ownershipMu serializes moves, splits and merges of ranges.
	ownershipMu sync.Mutex
	draining    atomic.Bool

	storeMu sync.Mutex
	store   *deduper.Store
	// rowsDeclaredAt holds, for each owner, the guardian version at which it last declared its rows here complete or
	// incomplete.
	rowsDeclaredAt map[applier.MemberID]applier.Offset

	loadsMu sync.Mutex
	loads   map[applier.MemberID]memberLoad

	tasks   taskGroup
	stopped chan struct{}
}

// aheadPeer is a peer with the offset that it announced as applied.
type aheadPeer struct {
	address netip.AddrPort
	applied applier.Offset
}

type memberLoad struct {
	load encoder.Load
	at   time.Time
}

// New returns a daemon that doesn't listen yet.
func New(c Config) *Daemon {
	d := &Daemon{
		config:         c,
		logger:         log.With(c.Logger, "name", c.Settings.Name),
		metrics:        metrics.NewSet(),
		client:         appender.New(appender.Config{Address: c.Settings.Log.Address, Stream: c.Settings.Log.Stream}),
		state:          &follower.Follower{},
		readTrigger:    make(chan struct{}, 1),
		aheadPeers:     make(chan aheadPeer, 16),
		store:          deduper.NewStore(deduper.Limits{}),
		rowsDeclaredAt: map[applier.MemberID]applier.Offset{},
		loads:          map[applier.MemberID]memberLoad{},
		stopped:        make(chan struct{}),
	}
	members := newChooser(c.Settings.Zone, chooserPolicy(c.Settings.Baseline.Chooser), d.loadReportOf)
	members.registerGauges(d.metrics)
	d.router = router.New(router.Config{
		Follower: d.state, Announced: func() applier.Offset { return applier.Offset(d.announced.Load()) },
		Exchanger: (*exchanger)(d), Chooser: members, RetryBudget: budgetFor(c.Settings.Baseline),
		Backoff: newBackoff(), LookUpParent: d.parent, DefaultTimeout: c.Settings.Limits.DefaultTimeout,
		MaxFailedResponses: maxFailedResponses(c.Settings.Baseline),
		ReplayLimit:        c.Settings.Limits.ReplayLimit, MaxHeaderBytes: c.Settings.Limits.MaxHeaderBytes, Metrics: d.metrics,
	})
	return d
}

// Run serves until the context ends and then stops gracefully: it hands over its ranges, finishes the requests in
// flight and leaves. It returns an error if it can't listen or if the stop was not graceful.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	tuneGC(0)
	credentials, err := transporter.LoadCredentials(
		d.config.Settings.TLS.CA, d.config.Settings.TLS.Certificate, d.config.Settings.TLS.Key)
	if err != nil {
		return err
	}
	d.transport, err = transporter.Listen(transporter.Config{
		Listen: d.config.Settings.QUIC, Credentials: credentials,
		HandleStream: d.handleStream, HandleDatagram: d.handleDatagram,
	})
	if err != nil {
		return err
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	d.registerGauges()
	for _, task := range []func(context.Context){d.followLog, d.followPeers, d.watchState, d.tickLease, d.tickAdmission, d.tickBalance, d.watchBackend, d.expireRows, d.writeCheckpoints} {
		d.tasks.Go(func() { task(background) })
	}
	d.log("state", "started", "listen", d.config.Settings.Listen, "quic", d.transport.Address())
	<-ctx.Done()
	var stopErr error
	if errors.Is(context.Cause(ctx), ErrKilled) {
		servers.close()
	} else {
		stopErr = d.stop(servers)
	}
	cancel()
	close(d.stopped)
	d.tasks.Wait()
	d.client.Close()
	if err := d.transport.Close(); err != nil {
		return err
	}
	d.log("state", "stopped")
	return stopErr
}

// log writes one log line of key-value pairs.
func (d *Daemon) log(pairs ...any) {
	// A failure to write a log line must not stop the process.
	_ = d.logger.Log(pairs...)
}

// servers holds the HTTP servers of a daemon.
type servers struct {
	callers *http.Server
	// callerListener is the listener of the server for callers.
	callerListener    *acceptor.Listener
	callerConnections connectionTracker
	local             *http.Server
	admin             *http.Server
}

// close closes all connections at once.
func (s *servers) close() {
	for _, server := range []*http.Server{s.callers, s.local, s.admin} {
		// An error is harmless: no request is to be finished.
		_ = server.Close()
	}
}

// extraHeaderBytes is the header size beyond the limit that the HTTP server still reads, so that the router can refuse
// the request with an outcome. The server itself would close the connection with unread data, and the caller would
// mostly see a reset.
const extraHeaderBytes = 64 << 10

func (d *Daemon) listen() (*servers, error) {
	limits := d.config.Settings.Limits
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &servers{
		callers: &http.Server{
			Handler: d.callerHandler(), MaxHeaderBytes: limits.MaxHeaderBytes + extraHeaderBytes, Protocols: protocols,
			ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute,
		},
		local: &http.Server{Handler: d.localHandler(), ReadTimeout: 5 * time.Second, MaxHeaderBytes: limits.MaxHeaderBytes},
		admin: &http.Server{Handler: d.adminHandler(), ReadTimeout: 5 * time.Second, MaxHeaderBytes: limits.MaxHeaderBytes},
	}
	for _, l := range []struct {
		server  *http.Server
		address netip.AddrPort
		limit   int
	}{
		{s.callers, d.config.Settings.Listen, limits.MaxConnections},
		{s.local, d.config.Settings.Local, 0},
		{s.admin, d.config.Settings.Admin, 0},
	} {
		listener, err := acceptor.Listen(l.address.String())
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if l.server == s.callers {
			s.callerListener = acceptor.New(listener)
			s.callers.ConnState = s.callerConnections.onStateChange
			s.callers.ConnContext = watcher.WithConn
			listener = s.callerListener
		}
		d.tasks.Go(func() {
			err := l.server.Serve(limitListener(listener, l.limit, s.callerConnections.closeLongestIdle))
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				d.log("state", "listener failed", "address", l.address, "err", err)
			}
		})
	}
	return s, nil
}

// callerHandler serves callers. While the process drains, it tells HTTP/1 clients to use another connection, so that no
// request is sent on a connection that is about to be closed.
func (d *Daemon) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		d.router.ServeHTTP(w, r)
	})
}

func (d *Daemon) parent(token string) (router.Parent, bool) {
	n := d.incarnation()
	if n == nil {
		return router.Parent{}, false
	}
	p, known := n.dispatcher.Parent(token)
	return router.Parent{Rank: p.Rank, Deadline: p.Deadline}, known
}

func (d *Daemon) incarnation() *incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// self returns the member ID, or zero if the process is not a member.
func (d *Daemon) self() applier.MemberID {
	if n := d.incarnation(); n != nil {
		return n.id
	}
	return 0
}

// tickAdmission makes the admission check the deadlines of queued requests. While none is queued it ticks rarely,
// because 200 wake-ups per second used a large part of the CPU time of an idle process.
func (d *Daemon) tickAdmission(ctx context.Context) {
	const (
		busyInterval = 5 * time.Millisecond
		idleInterval = 250 * time.Millisecond
	)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		n := d.incarnation()
		var queued <-chan struct{}
		waiting := false
		if n != nil {
			if waiting = n.dispatcher.Tick(); !waiting {
				queued = n.dispatcher.Queued()
			}
		}
		if waiting {
			timer.Reset(busyInterval)
		} else {
			timer.Reset(idleInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-queued:
		}
	}
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// admissionRanks returns the ranks of the current configuration for the admission.
func admissionRanks(s *applier.State) []admitter.Rank {
	if s.Configuration == nil {
		return nil
	}
	ranks := make([]admitter.Rank, 0, len(s.Configuration.Ranks))
	for name, r := range s.Configuration.Ranks {
		ranks = append(ranks, admitter.Rank{Name: name, Urgency: r.Urgency, Floor: r.Floor, Target: r.LatencyTarget.Value()})
	}
	return ranks
}
