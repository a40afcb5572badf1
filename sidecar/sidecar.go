package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"hibiscusline/applier"
	"hibiscusline/assigner"
	"hibiscusline/carrier"
	"hibiscusline/confirmer"
	"hibiscusline/delegator"
	"hibiscusline/evacuator"
	"hibiscusline/executor"
	"hibiscusline/forwarder"
	"hibiscusline/granter"
	"hibiscusline/limiter"
	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/quarantiner"
	"hibiscusline/registrar"
	"hibiscusline/retrier"
	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// Config configures a Sidecar.
type Config struct {
	Settings loader.SidecarSettings
	// Output is where log lines are written. Nil means standard output.
	Output io.Writer
	// Reload reads the settings again. Nil disables reloading.
	Reload func() (loader.SidecarSettings, error)
	// Signals triggers a reload, in addition to the periodic one.
	Signals <-chan os.Signal
}

// Sidecar is the proxy that runs beside one backend server.
type Sidecar struct {
	config       Config
	settings     loader.SidecarSettings
	bounds       loader.BoundSettings
	promises     promises
	logWriter    *asyncWriter
	logger       log.Logger
	started      time.Duration
	store        *platform.Store
	registrar    *registrar.Registrar
	peers        *forwarder.Peers
	forwarder    *forwarder.Forwarder
	executor     *executor.Executor
	link         *executor.Link
	quarantine   *quarantiner.Tracker
	callerServer *carrier.Server
	peerServer   *carrier.Server
	metrics      *meters
	// grantPool and releasePool carry the grants and the releases to the backend server, if grants are made by calls.
	grantPool, releasePool *carrier.Pool

	// heartbeat, grace and drain hold the durations, in nanoseconds, that a settings reload may change.
	heartbeat, grace, drain atomic.Int64

	stopping atomic.Bool
	// graceEnd is the time, in nanoseconds, at which a stop that has begun gives up the requests that aren't answered. It
	// is zero before the stop.
	graceEnd atomic.Int64
	// delegated means that other sidecars read the store on behalf of this one. The delegator is used only by
	// followRecords.
	delegated atomic.Bool
	delegator *delegator.Delegator
	// announced is the newest configuration that other sidecars have. newerConfig and documentWake signal that this one
	// lacks it.
	announced                 delegator.Announced
	newerConfig, documentWake chan struct{}
	current                   atomic.Pointer[configuration]
	// configurationAge is how long ago the store confirmed that there is no newer configuration, to this process or another.
	configurationAge *confirmer.Confirmer
	// configurationUnreadable means that this process can't read the store's newest configuration. Others may be able to.
	configurationUnreadable atomic.Bool
	// evacuations is the set of evacuated availability zones.
	evacuations *evacuator.Set
	storeHealth dependency
	// latencies are those of the store's answers without records.
	latencies answerLatencies
	// lastRefresh is the time of the latest refreshFrom.
	lastRefresh atomic.Int64
	// refreshing and releaseBusy limit refreshes requested by peers and releaseSlices to one at a time.
	refreshing, releaseBusy atomic.Bool

	// applyMu serializes updates of the registrar and the state derived from them.
	applyMu sync.Mutex
	// documents are the latest configurations.
	documents documents
	// suspectedSince holds the time at which this sidecar first read each suspicion.
	suspectedSince map[suspicionKey]time.Duration
	lastRecordAt   time.Duration
	// eraSince is the time at which the records of the present era of the store were loaded.
	eraSince time.Duration
	// caughtUpAt is the start of the newest read, by this or another sidecar, that returned all records of the store.
	caughtUpAt time.Duration
	planWake   chan struct{}
	// updates notifies waiters of new records and configurations.
	updates broadcast

	// mu guards the state of the backend server.
	mu      sync.Mutex
	granter *granter.Granter
	server  serverState
	own     registrar.Member
	// published is this sidecar's latest known record in the store.
	published registrar.Member
	// eraUnconfirmed means that the store isn't known to have a record of this process of the present era.
	eraUnconfirmed bool
	// predecessor is the latest known record of the earlier process of this name, and resumed means that its work is
	// continued.
	predecessor registrar.Member
	resumed     bool
	publishWake chan struct{}
	// callWake signals that a grant or a release may be due.
	callWake chan struct{}
	// loadedSettings are the settings that were read last.
	loadedSettings loader.SidecarSettings
	// loaded means that the records of the store were read once, including this sidecar's record from before a restart.
	loaded bool
	// leavingsAsked means that other sidecars were asked for the leavings that an earlier process of this name
	// acknowledged, and leavingsKnown that they have answered or had the time to.
	leavingsAsked, leavingsKnown bool
	// leavingSources is the number of sidecars that were asked for leavings and may have kept one, and reporters, by the server
	// that an earlier process of this name has reported to them since their start, that of those that answered.
	leavingSources int
	reporters      map[assigner.Incarnation]int
	// notLeaving is the incarnation whose server has said since the start of this process that it doesn't leave. doubtUntil is
	// the time from which heartbeats say so too.
	notLeaving assigner.Incarnation
	doubtUntil time.Duration
	// doubtWake signals that the server is unconfirmed, and leavingWake that another sidecar's server has left.
	doubtWake, leavingWake chan struct{}
	// reported holds the servers that other sidecars have reported to this process, by member.
	reported map[string]assigner.Incarnation
	// replicated is the leaving that other sidecars keep, or nil.
	replicated atomic.Pointer[registrar.Leaving]
	// publishEra is the era of the store to which sequence and unacknowledged belong. They are used only by publishOwn.
	publishEra     uint64
	sequence       uint64
	unacknowledged []platform.Record
}

// leaseTerm returns how long a sidecar may grant keys after its last read of the table, given the longest grant that
// the platform allows. It exceeds the longest grant so that a store outage of that length stops no owner.
func leaseTerm(maxHold time.Duration) time.Duration { return maxHold + maxHold/5 }

// grantShare is the length of a grant as a share of the longest that the platform allows. Longer grants tolerate late
// heartbeats and sidecar restarts; shorter ones free the keys of an unresponsive server sooner.
const grantShare = 0.8

// New returns a Sidecar that hasn't started.
func New(c Config) *Sidecar {
	s := c.Settings
	bounds := s.Bounds
	logs := &asyncWriter{out: c.Output}
	if c.Output == nil {
		logs.out = os.Stdout
	}
	a := &Sidecar{
		config: c, settings: s, bounds: bounds, promises: newPromises(bounds.Configuration, leaseTerm(bounds.MaxHold)),
		logWriter: logs, logger: newLogger(logs, s.Name), started: timer.Now(),
		store: platform.NewStore(s.Store), registrar: registrar.New(), metrics: newMeters(),
		reporters: map[assigner.Incarnation]int{}, reported: map[string]assigner.Incarnation{},
		suspectedSince: map[suspicionKey]time.Duration{}, planWake: make(chan struct{}, 1),
		publishWake: make(chan struct{}, 1), callWake: make(chan struct{}, 1),
		doubtWake: make(chan struct{}, 1), leavingWake: make(chan struct{}, 1),
		newerConfig: make(chan struct{}, 1), documentWake: make(chan struct{}, 1),
		configurationAge: confirmer.New(timer.Now(), bounds.Configuration), evacuations: evacuator.New(),
	}
	a.loadedSettings = s
	a.heartbeat.Store(int64(s.Heartbeat))
	a.grace.Store(int64(bounds.Grace))
	a.drain.Store(int64(bounds.Drain))
	byCalls, share := s.Grants == loader.GrantsByRequest, grantShare
	if byCalls {
		share = callGrantShare
	}
	a.granter = granter.New(granter.Config{
		Member: s.Name, LeaseTerm: leaseTerm(bounds.MaxHold), ByCalls: byCalls,
		HoldTime: time.Duration(share * float64(bounds.MaxHold)),
		MaxHold:  bounds.MaxHold,
		Started:  a.started,
	})
	a.granter.Revoke()
	a.grantPool, a.releasePool = a.newGrantPool(), a.newReleasePool()
	a.own = registrar.Member{Name: s.Name, Zone: s.Zone, Peer: s.PeerAddress(), Service: s.Service}
	budget := carrier.NewBudget(s.MemoryMB << 20 / responseMemoryDivisor)
	requests := carrier.NewBudget(s.MemoryMB << 20 / requestMemoryDivisor)
	a.peers = forwarder.NewPeers(forwarder.PeersConfig{Probe: a.syncWith, OnChange: a.peerChanged, Budget: budget})
	a.link = executor.NewLink(s.LinkMbps * bytesPerMegabit)
	a.quarantine = quarantiner.NewTracker(quarantiner.Config{
		// A process that starts again must not give the crashes of its server the ids that an earlier one has given.
		Member: applier.MemberID(rand.Uint64()), CrashesBeforeAlone: crashesBeforeAlone,
	})
	a.executor = executor.New(executor.Config{
		Backend: s.Backend, Logger: a.logger, Permits: a.permits,
		OnConnectionRefused: a.handleConnectionRefused, OnKeyRefused: a.refuseKey, Link: a.link, Budget: budget,
		Quarantine: a.quarantine, OnCrash: a.handleCrash,
		Pace:   limiter.Config{Share: bounds.ColdShare, Slack: bounds.ColdSlack},
		Policy: admissionPolicy(s.Admission), OnDecision: a.metrics.decision,
		OnSenderLeft: func(d watcher.Departure) { a.metrics.senderLeft("server", d) },
		OnEvacuated:  func() { a.metrics.count("hibiscus_evacuation_refusals_total") },
	})
	a.forwarder = forwarder.New(forwarder.Config{
		Member: s.Name, Zone: s.Zone, Service: s.Service, View: a.registrar.View, Local: a.executor, Peers: a.peers,
		Logger: a.logger, TransparentRetries: a.retryBudget(transparentRetryShare), Retries: a.retryBudget(retryShare),
		Seed: rand.Uint64(), Quarantine: a.quarantine,
		Observe: a.metrics.request, Limit: a.limitToGrace, Refresh: a.refreshFrom,
		Freshness: a.freshness, MaxAge: bounds.Configuration,
		Evacuated: a.leftByEntries, KeysRefused: a.refusesKeys, RestoredAt: a.evacuations.RestoredAt,
		OnSenderLeft: func(d watcher.Departure) { a.metrics.senderLeft("entry", d) },
	})
	a.callerServer = carrier.NewServer(carrier.ServerConfig{
		Limits: a.limits, Handle: a.serveCaller, OnPanic: a.logPanic, AllowPipelining: a.forwarder.AllowPipelining,
		MaxConnections: s.MaxDescriptors / 2, Budget: requests, RefuseBody: forwarder.RefuseBody,
	})
	a.peerServer = carrier.NewServer(carrier.ServerConfig{
		Limits: a.peerLimits, Handle: a.serveInbound, OnPanic: a.logPanic, Budget: requests, RefuseBody: executor.RefuseBody,
	})
	a.delegator = newDelegator(s.Name, s.Zone, leaseTerm(bounds.MaxHold))
	a.storeHealth = dependency{name: "store", logger: a.logger}
	return a
}

// maxStackBytes bounds the part of a stack that is logged.
const maxStackBytes = 2 << 10

// logPanic logs a panic while a request was handled.
func (a *Sidecar) logPanic(cause any, stack []byte) {
	a.metrics.count("hibiscus_panics_total")
	_ = a.logger.Log("event", "panic", "error", fmt.Sprint(cause), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// responseMemoryDivisor is the part of the memory of the process that large responses may take while they are read, as a
// divisor. Copies and garbage take several times as much.
const responseMemoryDivisor = 8

// requestMemoryDivisor is the part of the memory of the process that large requests may take until they are answered, as a
// divisor.
const requestMemoryDivisor = 6

// Shares of the platform's retry budget. The rest is reserved for the nested calls of retried requests, which can't be
// counted here.
const (
	transparentRetryShare = 0.6
	retryShare            = 0.2
	// retryBudgetMembers is the number of sidecars among which the fixed part of the budget is divided.
	retryBudgetMembers = 32
)

// retryBudget returns a share of this sidecar's part of the retry budget.
func (a *Sidecar) retryBudget(share float64) retrier.Config {
	fixed := a.bounds.RetrySlack / retryBudgetMembers * share
	return retrier.Config{
		Share: a.bounds.RetryShare * share, MinimumPerSecond: fixed / a.bounds.RetryWindow.Seconds(), Burst: fixed + 2,
	}
}

// bytesPerMegabit converts Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// defaultLimits apply until a configuration is loaded.
var defaultLimits = carrier.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	Provisional: true,
}

func (a *Sidecar) limits() carrier.Limits {
	routes := a.forwarder.Routes()
	if routes == nil || routes.Limits.HeaderBytes == 0 {
		return defaultLimits
	}
	l := routes.Limits
	return carrier.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		Provisional: !a.forwarder.Current(timer.Now()),
	}
}

// peerHeaderBytes is the space for header fields that other sidecars add to a caller's header.
const peerHeaderBytes = 4 << 10

func (a *Sidecar) peerLimits() carrier.Limits {
	l := a.limits()
	l.HeaderBytes += peerHeaderBytes
	l.IdleTimeout = peerIdleTimeout
	return l
}

// peerIdleTimeout exceeds the idle timeout of the sending side, so that a request never races with the close of its
// connection.
const peerIdleTimeout = 45 * time.Second

// memoryShare is the soft memory limit of the Go runtime as a share of the memory of the process.
const memoryShare = 0.7

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a listener can't be opened.
func (a *Sidecar) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(a.settings.MemoryMB) * (1 << 20)))
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
	_ = a.logger.Log("event", "stop", "dropped_lines", a.logWriter.dropped.Load())
	a.logWriter.flush()
	return nil
}

// loops returns the background loops, which run until the process exits.
func (a *Sidecar) loops() []func(context.Context) {
	loops := []func(context.Context){
		a.followRecords, a.followConfiguration, a.fetchDocuments, a.publishOwn, a.planLoop, a.gossip, a.watchServer, a.followSettings,
		a.settleDoubt, a.recordLeavings,
	}
	if a.settings.Grants == loader.GrantsByRequest {
		loops = append(loops, a.callServer)
	}
	return loops
}
