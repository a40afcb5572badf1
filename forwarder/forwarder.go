package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"hibiscusline/balancer"
	"hibiscusline/carrier"
	"hibiscusline/gatekeeper"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/retrier"
	"hibiscusline/timer"
)

// Config configures a Forwarder.
type Config struct {
	// Member is the name of this process, Zone its availability zone, and Service the service of the server beside it.
	Member, Zone, Service string
	View                  func() *registrar.View
	Local                 *gatekeeper.Gatekeeper
	Peers                 *Peers
	Logger                log.Logger
	// Resends bounds the requests that are sent again after a server refused to run them, for each service, and Repeats those
	// that may have run. A repeat makes its own calls again, which count as repeats of other services.
	Resends, Repeats retrier.Config
	Seed             uint64
	// Refresh is called when a process says that it doesn't own a key that the view gives to it.
	Refresh func(member string)
	// Observe is called with the end of each request.
	Observe func(Summary)
}

// Summary is the end of a caller's request.
type Summary struct {
	Rank, Service string
	Status        int
	Outcome       gatekeeper.Outcome
	Reason        gatekeeper.Reason
	Elapsed       time.Duration
	Sends         int
}

// Forwarder answers requests of callers. It is safe for concurrent use.
type Forwarder struct {
	config Config
	routes atomic.Pointer[matcher.Table]

	// plain bounds the lines of requests that were answered at the first try.
	plain *rate.Limiter

	mu       sync.Mutex
	services map[string]*service
}

// plainLines is the number of lines per second for requests that were answered at the first try. All others get a line.
const plainLines = 20

// records is the offset before which the process knows all records, which says how old its view of members and keys is.
func (f *Forwarder) records() uint64 {
	if f.config.View == nil {
		return 0
	}
	return f.config.View().End
}

// service is what the process knows first-hand of one service.
type service struct {
	mu      sync.Mutex
	chooser *balancer.Chooser
	resends *retrier.Budget
	repeats *retrier.Budget
	seen    map[string]time.Duration
	loads   map[string]load
	// busyLinks holds, for members whose links had no room for a rank's responses, when they are asked again.
	busyLinks map[linkRank]time.Duration
}

type linkRank struct{ member, rank string }

type load struct {
	gatekeeper.Load
	at time.Duration
}

// New returns a Forwarder without routes.
func New(c Config) *Forwarder {
	return &Forwarder{config: c, services: map[string]*service{}, plain: rate.NewLimiter(plainLines, plainLines)}
}

// SetRoutes puts a configuration in force.
func (f *Forwarder) SetRoutes(t *matcher.Table) { f.routes.Store(t) }

// Routes returns the configuration in force, or nil.
func (f *Forwarder) Routes() *matcher.Table { return f.routes.Load() }

func (f *Forwarder) service(name string) *service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, found := f.services[name]
	if !found {
		s = &service{
			chooser: balancer.NewChooser(balancer.ChooserConfig{Seed: f.config.Seed, LocalZoneBias: nearBias}),
			resends: retrier.NewBudget(f.config.Resends), repeats: retrier.NewBudget(f.config.Repeats),
			seen: map[string]time.Duration{}, loads: map[string]load{}, busyLinks: map[linkRank]time.Duration{},
		}
		f.services[name] = s
	}
	return s
}

// nearBias keeps requests in their zone until its servers look this much busier than others, as a share of their slots.
const nearBias = 0.4

// loadLife is the age at which what a process said of its load counts for nothing.
const loadLife = 3 * time.Second

// Loads returns the offered load of each member of a service that answered lately.
func (f *Forwarder) Loads(name string) map[string]float64 {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]float64{}
	for member, l := range s.loads {
		if timer.Now()-l.at < loadLife {
			loads[member] = l.Offered
		}
	}
	return loads
}

const (
	// defaultTimeout is for requests whose caller names none, on routes without timeout.
	defaultTimeout = 10 * time.Second
	// unreadyRetryAfter is the advice while the process knows no configuration or no server.
	unreadyRetryAfter = 300 * time.Millisecond
	// answerMargin is how long the process waits for the answer of another one beyond the deadline.
	answerMargin = 15 * time.Millisecond
)

// Overlap reports whether a request may be sent on while earlier ones of its connection are unanswered.
func (f *Forwarder) Overlap(q *carrier.Request) bool {
	routes := f.routes.Load()
	if routes == nil {
		return false
	}
	m, found := routes.Find(q.Host, q.Target)
	return found && m.Route.Kind != matcher.NonIdempotent
}

// Handle answers a caller's request.
func (f *Forwarder) Handle(ctx context.Context, q *carrier.Request) *carrier.Response {
	call := platform.DecodeCall(q.Header)
	routes := f.routes.Load()
	if routes == nil {
		return refuse(call.ID, unreadyRetryAfter, "no configuration yet")
	}
	m, found := routes.Find(q.Host, q.Target)
	if !found {
		r := carrier.NewResponse(http.StatusNotFound, "no route")
		platform.EchoID(r.Header, call.ID)
		f.log(call.ID, Summary{Status: r.Status}, routes.Version, "", "no_route")
		return r
	}
	p := f.prepare(q, call, m, routes.Version)
	ctx, cancel := context.WithTimeout(ctx, p.job.Deadline+answerMargin-timer.Now())
	defer cancel()
	result := p.run(ctx)
	return p.finish(result)
}

func (f *Forwarder) prepare(q *carrier.Request, call platform.Call, m matcher.Match, version uint64) *forwarding {
	gatekeeper.StripFields(q.Header)
	platform.SetCaller(q.Header, f.config.Service)
	timeout := defaultTimeout
	if m.Route.Timeout > 0 {
		timeout = m.Route.Timeout
	}
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return &forwarding{
		forwarder: f, match: m, version: version, service: f.service(m.Service.Name),
		job: &gatekeeper.Job{
			ID: call.ID, Request: q, Rank: m.Rank, Priority: m.Route.Priority, Target: m.Route.Target,
			Deadline: q.Received + timeout, Service: m.Service.Name, Keyed: m.Service.Keyed, Key: call.Key,
			Detached: m.Route.Kind == matcher.NonIdempotent,
		},
		hasKey: call.HasKey,
	}
}

func refuse(id string, after time.Duration, text string) *carrier.Response {
	r := carrier.NewResponse(http.StatusServiceUnavailable, text)
	platform.EchoID(r.Header, id)
	platform.SetRetryAfter(r.Header, after)
	return r
}

// finish turns the last result into the caller's response.
func (p *forwarding) finish(r gatekeeper.Result) *carrier.Response {
	var response *carrier.Response
	switch r.Outcome {
	case gatekeeper.Answered:
		response = r.Response
	case gatekeeper.NotRun:
		if p.unknown != gatekeeper.NoReason {
			response = carrier.NewResponse(http.StatusBadGateway, p.unknown.String())
			platform.EchoID(response.Header, p.job.ID)
			break
		}
		response = refuse(p.job.ID, r.RetryAfter, r.Reason.String())
	case gatekeeper.Unknown:
		status := http.StatusBadGateway
		if r.Reason == gatekeeper.DeadlinePassed {
			status = http.StatusGatewayTimeout
		}
		response = carrier.NewResponse(status, r.Reason.String())
		platform.EchoID(response.Header, p.job.ID)
	}
	p.forwarder.log(p.job.ID, Summary{
		Rank: p.match.Rank, Service: p.match.Service.Name, Status: response.Status, Outcome: r.Outcome, Reason: r.Reason,
		Elapsed: timer.Now() - p.job.Request.Received, Sends: p.sends,
	}, p.version, p.lastMember, "")
	return response
}

func (f *Forwarder) log(id string, s Summary, version uint64, member, note string) {
	if f.config.Observe != nil {
		f.config.Observe(s)
	}
	if s.Status < http.StatusBadRequest && s.Sends <= 1 && !f.plain.Allow() {
		return
	}
	_ = f.config.Logger.Log("event", "request", "id", id, "rank", s.Rank, "service", s.Service, "status", s.Status,
		"outcome", s.Outcome, "reason", s.Reason, "member", member, "sends", s.Sends, "ms", s.Elapsed.Milliseconds(),
		"configuration", version, "records", f.records(), "note", note)
}

// Unsent reports whether an error says that a request certainly didn't leave.
func Unsent(err error) bool {
	var failed *carrier.ExchangeError
	return errors.As(err, &failed) && !failed.Sent
}
