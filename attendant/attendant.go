package attendant

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"hibiscusline/carrier"
	"hibiscusline/delegator"
	"hibiscusline/forwarder"
	"hibiscusline/gatekeeper"
	"hibiscusline/granter"
	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/retrier"
	"hibiscusline/timer"
)

// Config configures an Attendant.
type Config struct {
	Settings loader.SidecarSettings
	// Output takes the log. Nil means standard output.
	Output io.Writer
	// Reload reads the settings again. Nil means that they don't change.
	Reload func() (loader.SidecarSettings, error)
	// Signals says when the settings may have changed, besides the regular look at them.
	Signals <-chan os.Signal
}

// Sidecar is one process beside a backend server.
type Sidecar struct {
	config    Config
	settings  loader.SidecarSettings
	bounds    loader.BoundSettings
	logs      *asyncWriter
	logger    log.Logger
	started   time.Duration
	store     *platform.Store
	registrar *registrar.Registrar
	peers     *forwarder.Peers
	forwarder *forwarder.Forwarder
	gate      *gatekeeper.Gatekeeper
	link      *gatekeeper.Link
	callers   *carrier.Server
	inbound   *carrier.Server
	metrics   *meters

	// heartbeat, grace and drain hold the durations that settings may change while the process runs.
	heartbeat, grace, drain atomic.Int64

	stopping atomic.Bool
	// delegates means that other processes read the store for this one. The delegator belongs to the loop that follows records.
	delegates atomic.Bool
	delegator *delegator.Delegator
	// configNews says that another process knows a newer configuration, and heardAt since when, or zero.
	configNews chan struct{}
	heardAt    atomic.Int64
	configDoc  atomic.Pointer[configuration]
	storeReach dependency
	// refreshed is the time of the latest refreshFrom.
	refreshed atomic.Int64
	// refreshing and releaseBusy keep refresh and releaseSlices to one at a time.
	refreshing, releaseBusy atomic.Bool

	// applying guards the registrar's writes and what follows from them.
	applying sync.Mutex
	// suspected holds when this process first read each suspicion.
	suspected map[suspicionKey]time.Duration
	lastNew   time.Duration
	// proof is the start of the newest read, here or at another process, that showed that there were no further records.
	proof   time.Duration
	changed chan struct{}
	// news wakes those who wait for records.
	news broadcast

	// mu guards the backend server's state.
	mu      sync.Mutex
	granter *granter.Granter
	server  serverState
	own     registrar.Member
	// published is the record of this process that the store holds, as far as it is known.
	published registrar.Member
	publish   chan struct{}
	// loadedSettings are the newest ones that were read.
	loadedSettings loader.SidecarSettings
	// loaded means that the records of the store were read once, so that the process knows its own earlier record.
	loaded bool
	// sequence and unacknowledged belong to the loop that appends the process's own record.
	sequence       uint64
	unacknowledged []platform.Record
}

// leaseTerm returns the time for which a process may grant keys after it last read the table, for the longest grant that
// the platform allows. It exceeds the longest grant so that a store that is away for that time stops no owner.
func leaseTerm(maxHold time.Duration) time.Duration { return maxHold + maxHold/5 }

// holdShare is the length of a grant as a share of the longest that the platform allows. Longer grants bridge late heartbeats
// and restarts of the process, shorter ones free the keys of a silent server sooner.
const holdShare = 0.8

// New returns an Attendant that does nothing yet.
func New(c Config) *Sidecar {
	s := c.Settings
	bounds := s.Bounds
	logs := &asyncWriter{to: c.Output}
	if c.Output == nil {
		logs.to = os.Stdout
	}
	a := &Sidecar{
		config: c, settings: s, bounds: bounds, logs: logs, logger: newLogger(logs, s.Name), started: timer.Now(),
		store: platform.NewStore(s.Store), registrar: registrar.New(), metrics: newMeters(),
		suspected: map[suspicionKey]time.Duration{}, changed: make(chan struct{}, 1), publish: make(chan struct{}, 1),
		configNews: make(chan struct{}, 1),
	}
	a.loadedSettings = s
	a.heartbeat.Store(int64(s.Heartbeat))
	a.grace.Store(int64(bounds.Grace))
	a.drain.Store(int64(bounds.Drain))
	a.granter = granter.New(granter.Config{
		Member: s.Name, LeaseTerm: leaseTerm(bounds.MaxHold), HoldTime: time.Duration(holdShare * float64(bounds.MaxHold)),
		MaxHold: bounds.MaxHold,
		Started: a.started,
	})
	a.granter.Revoke()
	a.own = registrar.Member{Name: s.Name, Zone: s.Zone, Peer: s.PeerAddress(), Service: s.Service}
	a.peers = forwarder.NewPeers(forwarder.PeersConfig{Probe: a.syncWith, Changed: a.peerChanged})
	a.link = gatekeeper.NewLink(s.LinkMbps * bytesPerMegabit)
	a.gate = gatekeeper.New(gatekeeper.Config{
		Backend: s.Backend, Logger: a.logger, Permits: a.permits, Lost: a.serverLost, Link: a.link,
	})
	a.forwarder = forwarder.New(forwarder.Config{
		Member: s.Name, Zone: s.Zone, Service: s.Service, View: a.registrar.View, Local: a.gate, Peers: a.peers,
		Logger: a.logger, Resends: a.retries(resendPart), Repeats: a.retries(repeatPart), Seed: rand.Uint64(),
		Observe: a.metrics.request, Refresh: a.refreshFrom,
	})
	a.callers = carrier.NewServer(carrier.ServerConfig{
		Limits: a.limits, Handle: a.serveCaller, Overlap: a.forwarder.Overlap, MaxConnections: s.Descriptors / 2,
	})
	a.inbound = carrier.NewServer(carrier.ServerConfig{Limits: a.peerLimits, Handle: a.serveInbound})
	a.delegator = newDelegator(s.Name, leaseTerm(bounds.MaxHold))
	a.storeReach = dependency{name: "store", logger: a.logger}
	return a
}

// Parts of the platform's retry budget. The rest is for what can't be counted here: the calls that repeats make.
const (
	resendPart = 0.6
	repeatPart = 0.2
	// budgetMembers is the number of processes over which the fixed part of the budget is divided.
	budgetMembers = 32
)

// retries returns this process's part of the retry budget.
func (a *Sidecar) retries(part float64) retrier.Config {
	fixed := a.bounds.RetrySlack / budgetMembers * part
	return retrier.Config{
		Share: a.bounds.RetryShare * part, MinimumPerSecond: fixed / a.bounds.RetryWindow.Seconds(), Burst: fixed + 2,
	}
}

// bytesPerMegabit converts the rate of a link.
const bytesPerMegabit = 1e6 / 8

// Limits that hold before a configuration is known.
var defaultLimits = carrier.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (a *Sidecar) limits() carrier.Limits {
	routes := a.forwarder.Routes()
	if routes == nil || routes.Limits.HeaderBytes == 0 {
		return defaultLimits
	}
	return carrier.Limits(routes.Limits)
}

// peerExtra is what another process may add to the header of a caller.
const peerExtra = 4 << 10

func (a *Sidecar) peerLimits() carrier.Limits {
	l := a.limits()
	l.HeaderBytes += peerExtra
	l.IdleTimeout = peerServerIdle
	return l
}

// peerServerIdle is longer than the idle timeout of the sending side, so that no request meets the close.
const peerServerIdle = 45 * time.Second

// memoryShare is the part of the process's memory at which the garbage collector works hardest.
const memoryShare = 0.7

// Run serves until the context ends, then stops gracefully.
func (a *Sidecar) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(a.settings.Memory) * (1 << 20)))
	listeners, err := a.listen()
	if err != nil {
		return err
	}
	_ = a.logger.Log("event", "start", "zone", a.settings.Zone, "service", a.settings.Service, "pid", os.Getpid())
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, loop := range a.loops() {
		go loop(background)
	}
	<-ctx.Done()
	a.stop(listeners)
	listeners.close()
	_ = a.logger.Log("event", "stop", "dropped_lines", a.logs.dropped.Load())
	a.logs.flush()
	return nil
}

// loops returns what runs in the background for as long as the process does.
func (a *Sidecar) loops() []func(context.Context) {
	return []func(context.Context){
		a.followRecords, a.followConfiguration, a.publishOwn, a.planLoop, a.gossip, a.watchServer, a.followSettings,
	}
}
