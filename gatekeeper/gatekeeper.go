package gatekeeper

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"hibiscusline/admitter"
	"hibiscusline/carrier"
	"hibiscusline/platform"
	"hibiscusline/timer"
)

// Config configures a Gatekeeper.
type Config struct {
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	Logger  log.Logger
	// Permits reports whether the server may run a request for a key now.
	Permits func(now time.Duration, key uint16) bool
	// Link is the instance's link, which bounds the large responses. Nil means no bound.
	Link *Link
	// Lost is called when the server's address refuses connections, so that the server's incarnation has ended.
	Lost func(instance string)
}

// Server is the state of the backend server as its heartbeats say.
type Server struct {
	// Instance is empty when there is no server.
	Instance string
	Service  string
	Slots    int
	// Drained is the time from which requests are refused because the server leaves, or zero. Requests for keys are refused
	// from DrainedKeys on, since only the server can run them until its keys have moved.
	Drained, DrainedKeys time.Duration
}

// Gatekeeper admits requests to one backend server. It is safe for concurrent use.
type Gatekeeper struct {
	config Config
	pool   *carrier.Pool

	mu       sync.Mutex
	server   Server
	admitter *admitter.Admitter
	ranks    []admitter.Rank
	waiting  map[uint64]chan admitter.Action
	lastID   uint64
	running  int
	ticking  bool
	arrivals arrivals
	silence  carrier.Silence
	// sizes holds the average size of the responses of each rank, in bytes.
	sizes map[string]float64
}

const (
	connectTimeout = 800 * time.Millisecond
	idleTimeout    = 20 * time.Second
	maxIdle        = 32
	// maxBody bounds the response of a backend server.
	maxBody    = 64 << 20
	queueLimit = 512
	// tickInterval is how often the deadlines of waiting requests are checked.
	tickInterval = 20 * time.Millisecond
	// nestedShare of the slots is kept for calls that running requests make.
	nestedShare = 0
)

// Bounds after which a server that answers nothing counts as silent. While it does, one request at a time tries it, and the
// others are refused at once instead of waiting for their deadlines.
const (
	silentAfter = 600 * time.Millisecond
	// silentServices is the number of average service times after which it does, if that is longer.
	silentServices = 5
)

// New returns a Gatekeeper without server.
func New(c Config) *Gatekeeper {
	if c.Link == nil {
		c.Link = NewLink(0)
	}
	return &Gatekeeper{
		config: c,
		pool: carrier.NewPool(carrier.PoolConfig{
			ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, MaxIdle: maxIdle, MaxBody: maxBody,
			Belongs: func(q *carrier.Request, h http.Header) bool { return platform.Answers(q.Header, h) },
		}),
		admitter: admitter.New(admitter.Config{QueueLimit: queueLimit, NestedShare: nestedShare}),
		waiting:  map[uint64]chan admitter.Action{}, sizes: map[string]float64{},
	}
}

// SetServer takes the state of the backend server.
func (g *Gatekeeper) SetServer(s Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Slots != g.server.Slots {
		g.step(admitter.Resize{Slots: s.Slots})
	}
	g.server = s
}

// Load returns how busy the server is.
func (g *Gatekeeper) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gatekeeper) load() Load {
	return Load{
		Running: g.running, Waiting: len(g.waiting), Slots: g.server.Slots, Service: g.admitter.MeanServiceTime(),
		Offered: g.arrivals.rate(timer.Now()) * g.admitter.MeanServiceTime().Seconds() / float64(max(g.server.Slots, 1)),
	}
}

// KeyRates returns the number of requests per second that arrived for each part of the keys, when they are divided into parts
// of a width, whether they were admitted or not.
func (g *Gatekeeper) KeyRates(parts, width int) []float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.arrivals.keyRates(timer.Now(), parts, width)
}

// Opened returns the number of connections opened to the server.
func (g *Gatekeeper) Opened() uint64 { return g.pool.Opened() }

// Run runs a job. The context ends when the caller leaves.
func (g *Gatekeeper) Run(ctx context.Context, j *Job) Result {
	began := timer.Now()
	r := g.run(ctx, j)
	g.mu.Lock()
	r.Load = g.load()
	instance := g.server.Instance
	g.mu.Unlock()
	if r.Outcome != Answered {
		_ = g.config.Logger.Log("event", "job", "id", j.ID, "rank", j.Rank, "key", j.Key, "keyed", j.Keyed, "instance", instance,
			"outcome", r.Outcome, "reason", r.Reason, "reached", r.Reached, "running", r.Load.Running, "waiting", r.Load.Waiting,
			"slots", r.Load.Slots, "service_ms", r.Load.Service.Milliseconds(), "ms", (timer.Now() - began).Milliseconds(),
			"left_ms", (j.Deadline - timer.Now()).Milliseconds(), "retry_after_ms", r.RetryAfter.Milliseconds())
	}
	return r
}

func (g *Gatekeeper) run(ctx context.Context, j *Job) Result {
	if r, refused := g.check(j); refused {
		return r
	}
	size := g.expectedSize(j)
	if r, refused := g.checkLink(j, size); refused {
		return r
	}
	g.config.Link.expect(size)
	defer g.config.Link.expect(-size)
	id, action := g.arrive(j)
	if r, refused := g.await(ctx, j, id, action); refused {
		return r
	}
	started := timer.Now()
	// The keys may have moved while the request waited.
	server, r, refused := g.recheck(j)
	if refused {
		g.finish(id, false)
		return r
	}
	g.mu.Lock()
	g.silence.Sent(started)
	g.mu.Unlock()
	r = g.send(ctx, j, server)
	g.mu.Lock()
	g.silence.Ended(timer.Now(), r.Outcome == Answered || r.Reason == ServerRefused)
	if r.Outcome == Answered && r.Response.Status < http.StatusBadRequest {
		g.noteSize(j.Rank, len(r.Response.Body))
	}
	g.mu.Unlock()
	g.finish(id, r.Outcome == Answered)
	return r
}

// refuseAfter is the advice on when to try again when nothing better is known.
const refuseAfter = 200 * time.Millisecond

func (g *Gatekeeper) check(j *Job) (Result, bool) {
	_, r, refused := g.recheck(j)
	return r, refused
}

func (g *Gatekeeper) recheck(j *Job) (Server, Result, bool) {
	g.mu.Lock()
	s := g.server
	g.mu.Unlock()
	now := timer.Now()
	refuse := func(reason Reason) (Server, Result, bool) {
		return s, Result{Outcome: NotRun, Reason: reason, RetryAfter: refuseAfter}, true
	}
	g.mu.Lock()
	silent := g.silence.Silent(now, max(silentAfter, silentServices*g.admitter.MeanServiceTime()))
	g.mu.Unlock()
	switch {
	case silent:
		return refuse(ServerSilent)
	case s.Instance == "" || s.Service != j.Service:
		return refuse(NoServer)
	case now >= j.Deadline:
		return refuse(DeadlineTooClose)
	case !j.Keyed && s.Drained != 0 && now >= s.Drained, j.Keyed && s.DrainedKeys != 0 && now >= s.DrainedKeys:
		return refuse(Draining)
	case j.Keyed && !g.config.Permits(now, j.Key):
		return refuse(NotOwner)
	}
	return s, Result{}, false
}

func (g *Gatekeeper) finish(id uint64, completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.step(admitter.Finish{ID: id, Completed: completed})
}
