package forwarder

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"hibiscusline/balancer"
	"hibiscusline/carrier"
	"hibiscusline/estimator"
	"hibiscusline/executor"
	"hibiscusline/matcher"
	"hibiscusline/platform"
	"hibiscusline/quarantiner"
	"hibiscusline/registrar"
	"hibiscusline/retrier"
	"hibiscusline/timer"
	"hibiscusline/watcher"
)

// Config configures a Forwarder.
type Config struct {
	// Member is the name of this sidecar, Zone its availability zone, and Service the service of its backend server.
	Member, Zone, Service string
	View                  func() *registrar.View
	// Evacuated reports whether an availability zone is evacuated, so that its servers get no requests. Nil means none.
	Evacuated func(zone string) bool
	// KeysRefused reports whether the servers of an evacuated zone no longer get requests for keys either. Nil means none.
	KeysRefused func(zone string) bool
	// RestoredAt returns when the evacuation of a zone was seen to end, or zero. Nil means never.
	RestoredAt func(zone string) time.Duration
	Local      *executor.Executor
	Peers      *Peers
	Logger     log.Logger
	// TransparentRetries is the retry budget, per service, for requests that a server refused to run, and Retries the
	// one for requests that may have run. The nested calls of a retried request count as retries of the services that
	// they call.
	TransparentRetries, Retries retrier.Config
	Seed                        uint64
	// Quarantine holds the requests that crash servers. Nil selects one of its own.
	Quarantine *quarantiner.Tracker
	// Limit returns the time by which a request must be answered, and whether it may be passed on at all, given its
	// deadline and the average service time of its service, which is zero if it is unknown. Nil means the deadline.
	Limit func(deadline, serviceTime time.Duration) (time.Duration, bool)
	// Freshness returns how current the routes are. Nil means that there are no newer ones.
	Freshness func() Freshness
	// MaxAge is how long after its publication a configuration must be in force.
	MaxAge time.Duration
	// Refresh is called when a member refuses a key that the view assigns to it.
	Refresh func(member string)
	// Observe is called at the end of each request.
	Observe func(Summary)
	// OnSenderLeft is called for each request that isn't sent to another member because its caller has left.
	OnSenderLeft func(watcher.Departure)
}

// Summary describes a completed request of a caller. Sends is the number of servers that may have received it.
type Summary struct {
	Rank, Service string
	Status        int
	Outcome       executor.Outcome
	Reason        executor.Reason
	Elapsed       time.Duration
	// Waited is the part of Elapsed for which the request waited for earlier responses of its connection.
	Waited time.Duration
	Sends  int
}

// Forwarder forwards callers' requests. It is safe for concurrent use.
type Forwarder struct {
	config Config
	routes atomic.Pointer[matcher.Table]

	// successLog limits the log lines of requests that succeeded at the first attempt.
	successLog *rate.Limiter

	mu       sync.Mutex
	services map[string]*serviceState
}

// successLogRate is the number of log lines per second for requests that succeeded at the first attempt. All others are
// logged.
const successLogRate = 20

// recordsEnd returns the offset before which all records are known. It shows how current the view of members and keys
// is.
func (f *Forwarder) recordsEnd() uint64 {
	if f.config.View == nil {
		return 0
	}
	return f.config.View().End
}

// serviceState holds what this sidecar has observed of one service.
type serviceState struct {
	mu                 sync.Mutex
	chooser            *balancer.Chooser
	transparentRetries *retrier.Budget
	retries            *retrier.Budget
	ages               serverAges
	loads              map[string]reportedLoad
	linkRefusals       linkRefusals
	cold               coldServers
	estimator          *estimator.Estimator
}

type reportedLoad struct {
	executor.Load
	reportedAt time.Duration
}

// New returns a Forwarder without routes. It responds with status 503 until SetRoutes is called.
func New(c Config) *Forwarder {
	if c.Quarantine == nil {
		c.Quarantine = quarantiner.NewTracker(quarantiner.Config{})
	}
	if c.Evacuated == nil {
		c.Evacuated = func(string) bool { return false }
	}
	if c.KeysRefused == nil {
		c.KeysRefused = func(string) bool { return false }
	}
	if c.RestoredAt == nil {
		c.RestoredAt = func(string) time.Duration { return 0 }
	}
	if c.OnSenderLeft == nil {
		c.OnSenderLeft = func(watcher.Departure) {}
	}
	if c.Freshness == nil {
		c.Freshness = func() Freshness { return Freshness{CompleteAt: timer.Now()} }
	}
	return &Forwarder{
		config: c, services: map[string]*serviceState{},
		successLog: rate.NewLimiter(successLogRate, successLogRate),
	}
}

// SetRoutes replaces the routes.
func (f *Forwarder) SetRoutes(t *matcher.Table) { f.routes.Store(t) }

// Routes returns the current routes, or nil.
func (f *Forwarder) Routes() *matcher.Table { return f.routes.Load() }

func (f *Forwarder) service(name string) *serviceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, found := f.services[name]
	if !found {
		s = &serviceState{
			chooser:            balancer.NewChooser(balancer.ChooserConfig{Seed: f.config.Seed, LocalZoneBias: sameZoneBias}),
			transparentRetries: retrier.NewBudget(f.config.TransparentRetries),
			retries:            retrier.NewBudget(f.config.Retries),
			ages:               serverAges{}, loads: map[string]reportedLoad{},
			linkRefusals: linkRefusals{}, cold: coldServers{}, estimator: estimator.NewEstimator(),
		}
		f.services[name] = s
	}
	return s
}

// sameZoneBias keeps requests in their zone until its servers are busier than others by this share of their slots.
const sameZoneBias = 0.4

// maxLoadAge is the age from which a reported load is ignored.
const maxLoadAge = 3 * time.Second

// Loads returns the offered load of each member of a service that reported one within maxLoadAge, as a share of its
// slots.
func (f *Forwarder) Loads(name string) map[string]float64 {
	s := f.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]float64{}
	for member, l := range s.loads {
		if timer.Now()-l.reportedAt < maxLoadAge {
			loads[member] = l.Offered
		}
	}
	return loads
}

// Expected returns, by service, how long work is expected to take now at each member whose server says how slow it is.
func (f *Forwarder) Expected() map[string]map[string]time.Duration {
	f.mu.Lock()
	services := maps.Clone(f.services)
	f.mu.Unlock()
	all := map[string]map[string]time.Duration{}
	for name, s := range services {
		if expected := s.expected(timer.Now()); len(expected) > 0 {
			all[name] = expected
		}
	}
	return all
}

func (s *serviceState) expected(now time.Duration) map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := map[string]time.Duration{}
	for member := range s.loads {
		if t := s.estimator.Expected(now, member); t > 0 {
			expected[member] = t
		}
	}
	return expected
}

// serviceTime returns the longest average service time that a member has reported recently, or zero.
func (s *serviceState) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, l := range s.loads {
		if timer.Now()-l.reportedAt < maxLoadAge {
			longest = max(longest, l.ServiceTime)
		}
	}
	return longest
}

const (
	// defaultTimeout applies when neither the caller nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// notReadyRetryAfter is the retry delay sent to callers while there is no configuration or no server.
	notReadyRetryAfter = 300 * time.Millisecond
	// responseMargin is how long past the deadline the sidecar waits for a peer's response.
	responseMargin = 15 * time.Millisecond
)

// AllowPipelining reports whether a request may be forwarded before earlier requests of its connection are answered.
func (f *Forwarder) AllowPipelining(q *carrier.Request) bool {
	routes := f.routes.Load()
	if routes == nil {
		return false
	}
	m, found := routes.Find(q.Host, q.Target)
	return found && m.Route.Kind.Repeatable()
}

// Handle forwards a caller's request and returns the response.
func (f *Forwarder) Handle(ctx context.Context, q *carrier.Request) *carrier.Response {
	call := platform.DecodeRequestHeader(q.Header)
	l := f.findRoute(ctx, q, call.Timeout)
	if !l.found {
		return f.refuseUnrouted(q, call.ID, l)
	}
	p := f.newRequest(q, call, l.match, l.version)
	if f.config.Limit != nil {
		limit, allowed := f.config.Limit(p.job.Deadline, p.service.serviceTime())
		if !allowed {
			return p.finish(executor.Result{Outcome: executor.NotRun, Reason: executor.Stopping, RetryAfter: notReadyRetryAfter})
		}
		p.job.Deadline = limit
	}
	ctx, cancel := context.WithTimeout(ctx, p.job.Deadline+responseMargin-timer.Now())
	defer cancel()
	return p.finish(p.forward(ctx))
}

func (f *Forwarder) newRequest(
	q *carrier.Request, call platform.RequestHeader, m matcher.Match, version uint64,
) *forwardedRequest {
	executor.StripFields(q.Header)
	platform.SetCallerService(q.Header, f.config.Service)
	timeout := defaultTimeout
	if m.Route.Timeout > 0 {
		timeout = m.Route.Timeout
	}
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return &forwardedRequest{
		forwarder: f, match: m, version: version, service: f.service(m.Service.Name),
		job: &executor.Job{
			ID: call.ID, Request: q, Rank: m.Rank, Priority: m.Route.Priority, LatencyTarget: m.Route.Target,
			Deadline: q.Received + timeout, Service: m.Service.Name, Keyed: m.Service.Keyed, Key: call.Key,
			Detached: !m.Route.Kind.Repeatable(),
		},
		hasKey: call.HasKey,
	}
}

func unavailable(id string, after time.Duration, text string) *carrier.Response {
	r := carrier.NewResponse(http.StatusServiceUnavailable, text)
	platform.SetRequestID(r.Header, id)
	platform.SetRetryAfter(r.Header, after)
	return r
}

// bodyRetryAfter is the retry delay sent to callers whose body exceeds the memory for requests.
const bodyRetryAfter = 200 * time.Millisecond

// RefuseBody returns the response to a caller's request whose body exceeds the memory for requests.
func RefuseBody(h http.Header) *carrier.Response {
	return unavailable(platform.DecodeRequestHeader(h).ID, bodyRetryAfter, "too many large requests")
}

// finish logs the result and converts it to the caller's response. Status 503 promises that the request hasn't run, so
// it isn't used after an attempt with unknown outcome.
func (p *forwardedRequest) finish(r executor.Result) *carrier.Response {
	var response *carrier.Response
	switch r.Outcome {
	case executor.Answered:
		response = r.Response
	case executor.NotRun:
		if p.unknownReason != executor.NoReason {
			response = carrier.NewResponse(http.StatusBadGateway, p.unknownReason.String())
			platform.SetRequestID(response.Header, p.job.ID)
			break
		}
		response = unavailable(p.job.ID, r.RetryAfter, r.Reason.String())
	case executor.Unknown:
		status := http.StatusBadGateway
		if r.Reason == executor.DeadlinePassed {
			status = http.StatusGatewayTimeout
		}
		response = carrier.NewResponse(status, r.Reason.String())
		platform.SetRequestID(response.Header, p.job.ID)
	}
	p.forwarder.logRequest(p.job.ID, Summary{
		Rank: p.match.Rank, Service: p.match.Service.Name, Status: response.Status, Outcome: r.Outcome, Reason: r.Reason,
		Elapsed: timer.Now() - p.job.Request.Received, Waited: p.job.Request.Waited, Sends: p.sends,
	}, p.version, p.lastMember)
	return response
}

func (f *Forwarder) logRequest(id string, s Summary, version uint64, member string) {
	if f.config.Observe != nil {
		f.config.Observe(s)
	}
	if s.Status < http.StatusBadRequest && s.Sends <= 1 && !f.successLog.Allow() {
		return
	}
	_ = f.config.Logger.Log("event", "request", "id", id, "rank", s.Rank, "service", s.Service, "status", s.Status,
		"outcome", s.Outcome, "reason", s.Reason, "member", member, "sends", s.Sends, "ms", s.Elapsed.Milliseconds(),
		"waited_ms", s.Waited.Milliseconds(),
		"configuration", version, "records", f.recordsEnd())
}

// Unsent reports whether an error guarantees that no byte of the request was sent.
func Unsent(err error) bool {
	var failed *carrier.ExchangeError
	return errors.As(err, &failed) && !failed.Sent
}
