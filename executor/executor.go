package executor

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/singleflight"

	"hibiscusline/admitter"
	"hibiscusline/applier"
	"hibiscusline/carrier"
	"hibiscusline/limiter"
	"hibiscusline/platform"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// Config configures an Executor.
type Config struct {
	Backend netip.AddrPort
	Logger  log.Logger
	// Permits reports whether the server may run a request for a key now.
	Permits func(now time.Duration, key uint16) bool
	// Link limits the large responses of the instance. Nil means no limit.
	Link *Link
	// Budget bounds the memory of large responses. Nil means no bound beyond the limit for one response.
	Budget *carrier.Budget
	// OnConnectionRefused is called when the server's address refuses a connection, which means that the server's
	// incarnation has ended.
	OnConnectionRefused func(instance string)
	// OnKeyRefused is called when the server refuses a request for a key because it doesn't hold the key.
	OnKeyRefused func(key uint16)
	// Quarantine holds the requests that crash servers. Nil selects one of its own.
	Quarantine *quarantiner.Tracker
	// OnCrash is called when the server has crashed while it ran requests.
	OnCrash func(applier.Suspect)
	// OnEvacuated is called for each job that is refused because the availability zone is evacuated.
	OnEvacuated func()
	// Policy is the order in which waiting requests get slots.
	Policy admitter.Policy
	// OnDecision is called for each job that got a slot or was refused one.
	OnDecision func(Decision)
	// OnSenderLeft is called for each job that isn't sent to the server because its sender has left.
	OnSenderLeft func(watcher.Departure)
	// Pace bounds the requests that a cold server gets.
	Pace limiter.Config
}

// Server is the state of the backend server according to its heartbeats.
type Server struct {
	// Instance is empty if there is no server.
	Instance string
	Service  string
	Slots    int
	// RefuseFrom is the time from which a draining server gets no new requests, or zero. Requests for keys are refused
	// from RefuseKeyedFrom on, since only this server can run them until its keys have moved.
	RefuseFrom, RefuseKeyedFrom time.Duration
	// EvacuatedFrom is the time from which the server gets no requests because its availability zone is evacuated, or zero,
	// and KeyedEvacuatedFrom that for requests for keys.
	EvacuatedFrom, KeyedEvacuatedFrom time.Duration
	// ColdUntil is the time until which the server is cold, or zero, and ColdRate the number of requests per second that it
	// tolerates until then.
	ColdUntil time.Duration
	ColdRate  float64
}

// Executor executes requests on one backend server. It is safe for concurrent use.
type Executor struct {
	config Config
	pool   *carrier.Pool
	// probes shares the attempts to connect among the requests that a crash ends.
	probes singleflight.Group

	mu            sync.Mutex
	server        Server
	queue         *admitter.Queue
	ranks         []admitter.Rank
	tickScheduled bool
	arrivals      arrivalRates
	stall         carrier.StallDetector
	// responseSizes holds the average response size of each rank, in bytes.
	responseSizes map[string]float64
	cold          coldCounter
	slowness      reportedSlowness
	// lastResponse is when the server last answered a request.
	lastResponse time.Duration
}

const (
	connectTimeout = 800 * time.Millisecond
	idleTimeout    = 20 * time.Second
	maxIdle        = 32
	// maxBody bounds the response body of a backend server, in bytes.
	maxBody    = 64 << 20
	queueLimit = 512
	// tickInterval is how often the deadlines of waiting requests are checked.
	tickInterval = 20 * time.Millisecond
	// nestedShare is the share of the slots that is reserved for nested calls of running requests.
	nestedShare = 0
)

// Limits after which a server that doesn't respond counts as stalled. A stalled server is sent one request at a time,
// and the others are refused at once instead of waiting for their deadlines.
const (
	stallTimeout = 600 * time.Millisecond
	// stallServiceTimes is the limit as a number of average service times. The longer limit applies.
	stallServiceTimes = 5
	// coldStallTimeout replaces stallTimeout for what was sent while the server was cold: a cold server takes several times
	// as long, and after the start of the process no service time is known yet.
	coldStallTimeout = 4 * stallTimeout
)

// New returns an Executor without a server.
func New(c Config) *Executor {
	if c.Link == nil {
		c.Link = NewLink(0)
	}
	if c.OnKeyRefused == nil {
		c.OnKeyRefused = func(uint16) {}
	}
	if c.Quarantine == nil {
		c.Quarantine = quarantiner.NewTracker(quarantiner.Config{})
	}
	if c.OnCrash == nil {
		c.OnCrash = func(applier.Suspect) {}
	}
	if c.OnEvacuated == nil {
		c.OnEvacuated = func() {}
	}
	if c.OnDecision == nil {
		c.OnDecision = func(Decision) {}
	}
	if c.OnSenderLeft == nil {
		c.OnSenderLeft = func(watcher.Departure) {}
	}
	return &Executor{
		config: c,
		pool: carrier.NewPool(carrier.PoolConfig{
			ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdle, MaxBody: maxBody,
			Budget: c.Budget,
			Matches: func(q *carrier.Request, h http.Header, first bool) bool {
				return platform.ResponseMatches(q.Header, h, first)
			},
		}),
		queue: admitter.NewQueue(admitter.Config{
			QueueLimit: queueLimit, NestedShare: nestedShare, Policy: c.Policy, Pace: c.Pace,
		}),
		responseSizes: map[string]float64{},
	}
}

// SetServer updates the state of the backend server.
func (g *Executor) SetServer(s Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Slots != g.server.Slots {
		g.queue.Step(timer.Now(), admitter.Resize{Slots: s.Slots})
	}
	g.setPace(s)
	g.server = s
}

// Load returns the current load of the server.
func (g *Executor) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Executor) load() Load {
	serviceTime := g.queue.Admitter().MeanServiceTime()
	room, cold := g.queue.Admitter().Room(timer.Now())
	return Load{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(), Slots: g.server.Slots, ServiceTime: serviceTime,
		Offered: g.arrivals.rate(timer.Now()) * serviceTime.Seconds() / float64(max(g.server.Slots, 1)),
		ColdFor: cold, ColdRoom: room, Slowness: g.slowness.at(timer.Now(), g.server.Instance),
	}
}

// ServiceTime returns the average time that the server takes for a request of a rank, or zero if that is unknown.
func (g *Executor) ServiceTime(rank string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Admitter().RankMeanServiceTime(rank)
}

// KeyRates returns the requests per second that arrived for each part of the key space, admitted or not. Each part is
// width keys wide.
func (g *Executor) KeyRates(parts, width int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrivals.keyRates(timer.Now(), parts, width)
}

// ConnectionsOpened returns the number of connections opened to the server so far.
func (g *Executor) ConnectionsOpened() uint64 { return g.pool.ConnectionsOpened() }

// Run executes a job and returns its result. If ctx ends because the caller disconnected, a waiting job is given up,
// and a running one is cancelled unless it is detached.
func (g *Executor) Run(ctx context.Context, j *Job) Result {
	start := timer.Now()
	r := g.run(ctx, j)
	g.mu.Lock()
	r.Load = g.load()
	instance := g.server.Instance
	g.mu.Unlock()
	if r.Reason == Evacuated {
		g.config.OnEvacuated()
	}
	if r.Outcome != Answered {
		_ = g.config.Logger.Log("event", "job", "id", j.ID, "rank", j.Rank, "key", j.Key, "keyed", j.Keyed, "instance", instance,
			"outcome", r.Outcome, "reason", r.Reason, "reached", r.Reached, "running", r.Load.Running, "waiting", r.Load.Waiting,
			"slots", r.Load.Slots, "service_ms", r.Load.ServiceTime.Milliseconds(), "slowness", r.Load.Slowness,
			"ms", (timer.Now() - start).Milliseconds(),
			"left_ms", (j.Deadline - timer.Now()).Milliseconds(), "retry_after_ms", r.RetryAfter.Milliseconds())
	}
	return r
}

func (g *Executor) run(ctx context.Context, j *Job) Result {
	start := timer.Now()
	if r, refused := g.precheck(j); refused {
		return r
	}
	verdict := g.config.Quarantine.Verdict(start, j.Fingerprint(), j.Crashes)
	if verdict == quarantiner.Refuse {
		return PoisonRefusal(g.config.Quarantine, j)
	}
	size := g.expectedResponseSize(j)
	if r, refused := g.checkLink(j, size); refused {
		return r
	}
	g.config.Link.reserve(size)
	defer g.config.Link.reserve(-size)
	id, decided := g.enqueue(j, verdict == quarantiner.RunAlone)
	if r, refused := g.awaitSlot(ctx, j, id, decided); refused {
		if r.Reason != CallerDisconnected {
			g.countPaced(true)
		}
		return r
	}
	started := timer.Now()
	g.countPaced(false)
	// The keys may have moved while the request was queued.
	server, r, refused := g.checkServer(j)
	if refused {
		g.finish(id, false)
		return r
	}
	if g.config.Quarantine.Verdict(started, j.Fingerprint(), nil) == quarantiner.Refuse {
		g.finish(id, false)
		return PoisonRefusal(g.config.Quarantine, j)
	}
	g.mu.Lock()
	g.stall.Started(started)
	g.mu.Unlock()
	running := g.config.Quarantine.Start(j.Fingerprint())
	r = g.send(ctx, j, server)
	r.Crashes = g.settle(running, r, server)
	g.mu.Lock()
	g.stall.Ended(timer.Now(), r.Outcome == Answered || r.Reason == ServerRefused)
	if r.Outcome == Answered {
		g.lastResponse = timer.Now()
	}
	if r.Outcome == Answered && r.Response.Status < http.StatusBadRequest {
		g.recordResponseSize(j.Rank, len(r.Response.Body))
	}
	g.mu.Unlock()
	g.finish(id, r.Outcome == Answered)
	return r
}

// defaultRetryAfter is the retry delay when there is no better estimate.
const defaultRetryAfter = 200 * time.Millisecond

// precheck refuses a job that the server may not run now, before the job is queued.
func (g *Executor) precheck(j *Job) (Result, bool) {
	_, r, refused := g.checkServer(j)
	return r, refused
}

// checkServer returns the server. If the server may not run the job now, it returns the refusal and true as well.
func (g *Executor) checkServer(j *Job) (Server, Result, bool) {
	g.mu.Lock()
	s := g.server
	g.mu.Unlock()
	now := timer.Now()
	refuse := func(reason Reason) (Server, Result, bool) {
		return s, Result{Outcome: NotRun, Reason: reason, RetryAfter: defaultRetryAfter}, true
	}
	g.mu.Lock()
	stalled := g.stall.Stalled(now, g.stallLimit(now))
	g.mu.Unlock()
	switch {
	case stalled:
		return refuse(ServerStalled)
	case s.Instance == "" || s.Service != j.Service:
		return refuse(NoServer)
	case now >= j.Deadline:
		return refuse(DeadlineTooClose)
	case !j.Keyed && s.RefuseFrom != 0 && now >= s.RefuseFrom,
		j.Keyed && s.RefuseKeyedFrom != 0 && now >= s.RefuseKeyedFrom:
		return refuse(Draining)
	case !j.Keyed && s.EvacuatedFrom != 0 && now >= s.EvacuatedFrom,
		j.Keyed && s.KeyedEvacuatedFrom != 0 && now >= s.KeyedEvacuatedFrom:
		return refuse(Evacuated)
	case j.Keyed && !g.config.Permits(now, j.Key):
		return refuse(NotOwner)
	}
	return s, Result{}, false
}

// finish frees the slot of an admitted job.
func (g *Executor) finish(id uint64, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Finish(timer.Now(), id, completed)
}
