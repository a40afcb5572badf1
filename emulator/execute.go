package emulator

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"hibiscusline/timer"
)

// currentIncarnation returns the current incarnation. While the server is down, it aborts the connection by a panic
// with http.ErrAbortHandler.
func (s *Server) currentIncarnation() *incarnation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	return s.incarnation
}

// waitForThaw blocks while the server is frozen. It ignores cancellation, which a frozen process doesn't notice, and
// aborts the connection when the server crashes.
func (s *Server) waitForThaw(inc *incarnation) {
	for {
		s.mutex.Lock()
		frozen, changed := s.settings.Frozen, s.changed
		s.mutex.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-inc.crashed:
			panic(http.ErrAbortHandler)
		}
	}
}

// sleep waits for d and returns Completed, or returns Cancelled or Crashed if the context or the incarnation ends
// first.
func (s *Server) sleep(ctx context.Context, inc *incarnation, d time.Duration) Status {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-inc.crashed:
		case <-ctx.Done():
		}
	}
	select {
	case <-inc.crashed:
		return Crashed
	case <-ctx.Done():
		return Cancelled
	default:
		return Completed
	}
}

// task holds the parsed parts of a request while the server processes it. The deadline is a time of package timer.
type task struct {
	incarnation *incarnation
	body        []byte
	grant       Grant
	hasGrant    bool
	deadline    time.Duration
	hasDeadline bool
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	t := &task{incarnation: s.currentIncarnation()}
	s.count(func(c *ServerCounts) { c.Requests++ })
	var err error
	// Read the whole body first: net/http detects a closed client connection only after that.
	if t.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes)); err != nil {
		s.writeError(w, r, http.StatusBadRequest, BadRequest, "read body: "+err.Error())
		return
	}
	s.waitForThaw(t.incarnation)
	if t.deadline, t.hasDeadline, err = parseDeadline(r.Header.Get(HeaderDeadline)); err != nil {
		s.writeError(w, r, http.StatusBadRequest, BadRequest, HeaderDeadline+": "+err.Error())
		return
	}
	if positions := r.Header.Get(HeaderRange); positions != "" {
		if t.grant, err = ParseGrant(positions, r.Header.Get(HeaderEpoch)); err != nil {
			s.writeError(w, r, http.StatusBadRequest, BadRequest, err.Error())
			return
		}
		t.hasGrant = true
	}
	s.serveTask(w, r, t)
}

func (s *Server) serveTask(w http.ResponseWriter, r *http.Request, t *task) {
	ctx := r.Context()
	if t.hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.deadline-timer.Now())
		defer cancel()
	}
	release, admitted := s.acquire(ctx, t.incarnation)
	if admitted {
		defer release()
	}
	if ctx.Err() != nil {
		s.writeError(w, r, http.StatusGatewayTimeout, DeadlinePassed, "the deadline passed before the request ran")
		return
	}
	if !admitted {
		s.count(func(c *ServerCounts) { c.Shed++ })
		w.Header().Set("Retry-After", "1")
		s.writeError(w, r, http.StatusServiceUnavailable, Shed, "all slots are busy and the queue is full")
		return
	}
	if s.stale(t) {
		s.writeStaleEpoch(w, r, "before")
		return
	}
	switch s.execute(ctx, r, t) {
	case Crashed:
		panic(http.ErrAbortHandler)
	case Cancelled:
		s.writeError(w, r, http.StatusGatewayTimeout, DeadlinePassed, "the deadline passed while the request ran")
	case Fenced:
		s.writeStaleEpoch(w, r, "after")
	case Failed:
		s.writeError(w, r, http.StatusInternalServerError, InjectedFailure,
			"the server fails requests although it is healthy")
	default:
		s.writeResponse(w, r, t.body)
	}
}

func (s *Server) stale(t *task) bool {
	return s.config.Fenced && t.hasGrant && !s.config.Fence.Admit(t.grant)
}

func (s *Server) writeStaleEpoch(w http.ResponseWriter, r *http.Request, when string) {
	s.count(func(c *ServerCounts) { c.StaleEpochs++ })
	w.Header().Set("Hibiscus-Fenced", when)
	w.Header().Set("Hibiscus-Parent", r.Header.Get("Hibiscus-Parent"))
	s.writeError(w, r, http.StatusConflict, StaleEpoch, "the range was seen with a newer epoch")
}

// acquire takes a slot and returns the function that releases it. It reports false when the server sheds the request
// because its queue is full, or when the request was cancelled.
func (s *Server) acquire(ctx context.Context, inc *incarnation) (func(), bool) {
	release := func() { <-s.slots }
	select {
	case s.slots <- struct{}{}:
		return release, true
	default:
	}
	s.mutex.Lock()
	if s.settings.Shed && s.waiting >= s.settings.QueueLimit {
		s.mutex.Unlock()
		return nil, false
	}
	s.waiting++
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.waiting--
		s.mutex.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return release, true
	case <-ctx.Done():
		return nil, false
	case <-inc.crashed:
		panic(http.ErrAbortHandler)
	}
}

// execute runs a request in its slot and records the execution in the ledger.
func (s *Server) execute(ctx context.Context, r *http.Request, t *task) Status {
	e := Execution{
		Service: s.config.Service, Server: s.config.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		RequestID: r.Header.Get(HeaderRequestID), Range: r.Header.Get(HeaderRange), Epoch: t.grant.Epoch,
		Start: timer.Now(),
	}
	index := s.config.Ledger.begin(e)
	status := Crashed
	defer func() {
		at := timer.Now()
		if status == Cancelled && t.hasDeadline {
			// A request has no effect after its deadline, even if a frozen server ends it later.
			at = min(at, t.deadline)
		}
		s.config.Ledger.end(index, at, status)
	}()
	status = s.runTask(ctx, r, t)
	return status
}

func (s *Server) runTask(ctx context.Context, r *http.Request, t *task) Status {
	duration := s.serviceTime()
	poison := r.Header.Get(HeaderCrash) == "1" || strings.HasPrefix(r.URL.Path, "/poison")
	if poison {
		duration /= 2
	}
	status := s.sleep(ctx, t.incarnation, duration)
	if status == Crashed {
		return status
	}
	if poison && status == Completed {
		s.Crash()
		return Crashed
	}
	s.waitForThaw(t.incarnation)
	switch {
	case s.stale(t):
		// Checked before cancellation: a cancelled request with an outdated epoch is fenced as well.
		return Fenced
	case ctx.Err() != nil:
		return Cancelled
	case s.drawError():
		return Failed
	}
	return status
}

func (s *Server) drawError() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.settings.ErrorProbability > 0 && s.random.Float64() < s.settings.ErrorProbability
}
