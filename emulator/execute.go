package emulator

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"hibiscusline/timer"
)

// currentLife returns the present life. A server that is down cuts the connection.
func (s *Server) currentLife() *life {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	return s.life
}

// waitForThaw blocks while the server is frozen. It ignores cancellation, which a frozen process doesn't notice, and
// cuts the connection when the server crashes.
func (s *Server) waitForThaw(l *life) {
	for {
		s.mutex.Lock()
		frozen, changed := s.settings.Frozen, s.changed
		s.mutex.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-l.crashed:
			panic(http.ErrAbortHandler)
		}
	}
}

// sleep waits for a duration. It returns Completed, Cancelled or Crashed.
func (s *Server) sleep(ctx context.Context, l *life, d time.Duration) Status {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-l.crashed:
		case <-ctx.Done():
		}
	}
	select {
	case <-l.crashed:
		return Crashed
	case <-ctx.Done():
		return Cancelled
	default:
		return Completed
	}
}

// task is one request on its way through the server.
type task struct {
	life     *life
	body     []byte
	grant    Grant
	granted  bool
	deadline time.Duration
	limited  bool
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	t := &task{life: s.currentLife()}
	s.count(func(c *ServerCounts) { c.Requests++ })
	var err error
	// The whole body is read first: net/http notices a lost client only after that.
	if t.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes)); err != nil {
		s.refuse(w, r, http.StatusBadRequest, BadRequest, "read body: "+err.Error())
		return
	}
	s.waitForThaw(t.life)
	if t.deadline, t.limited, err = deadline(r.Header.Get(HeaderDeadline)); err != nil {
		s.refuse(w, r, http.StatusBadRequest, BadRequest, HeaderDeadline+": "+err.Error())
		return
	}
	if positions := r.Header.Get(HeaderRange); positions != "" {
		if t.grant, err = ParseGrant(positions, r.Header.Get(HeaderEpoch)); err != nil {
			s.refuse(w, r, http.StatusBadRequest, BadRequest, err.Error())
			return
		}
		t.granted = true
	}
	s.serveTask(w, r, t)
}

func (s *Server) serveTask(w http.ResponseWriter, r *http.Request, t *task) {
	ctx := r.Context()
	if t.limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.deadline-timer.Now())
		defer cancel()
	}
	release, admitted := s.acquire(ctx, t.life)
	if admitted {
		defer release()
	}
	if ctx.Err() != nil {
		s.refuse(w, r, http.StatusGatewayTimeout, DeadlinePassed, "the deadline passed before the request ran")
		return
	}
	if !admitted {
		s.count(func(c *ServerCounts) { c.Shed++ })
		w.Header().Set("Retry-After", "1")
		s.refuse(w, r, http.StatusServiceUnavailable, Shed, "all slots are busy and the queue is full")
		return
	}
	if s.stale(t) {
		s.refuseStale(w, r, "before")
		return
	}
	switch s.execute(ctx, r, t) {
	case Crashed:
		panic(http.ErrAbortHandler)
	case Cancelled:
		s.refuse(w, r, http.StatusGatewayTimeout, DeadlinePassed, "the deadline passed while the request ran")
	case Fenced:
		s.refuseStale(w, r, "after")
	case Failed:
		s.refuse(w, r, http.StatusInternalServerError, InjectedFailure, "the server fails requests although it is healthy")
	default:
		s.answer(w, r, t.body)
	}
}

func (s *Server) stale(t *task) bool {
	return s.config.Fenced && t.granted && !s.config.Fence.Admit(t.grant)
}

func (s *Server) refuseStale(w http.ResponseWriter, r *http.Request, when string) {
	s.count(func(c *ServerCounts) { c.StaleEpochs++ })
	w.Header().Set("Hibiscus-Fenced", when)
	s.refuse(w, r, http.StatusConflict, StaleEpoch, "the range was seen with a newer epoch")
}

// acquire takes a slot, or reports false when the queue is full or the request was cancelled.
func (s *Server) acquire(ctx context.Context, l *life) (func(), bool) {
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
	case <-l.crashed:
		panic(http.ErrAbortHandler)
	}
}

// execute runs a request in its slot and records it.
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
		if status == Cancelled && t.limited {
			// A request has no effect after its deadline, even if the server was frozen and ends it later.
			at = min(at, t.deadline)
		}
		s.config.Ledger.end(index, at, status)
	}()
	status = s.work(ctx, r, t)
	return status
}

func (s *Server) work(ctx context.Context, r *http.Request, t *task) Status {
	duration := s.serviceTime()
	poison := r.Header.Get(HeaderCrash) == "1" || strings.HasPrefix(r.URL.Path, "/poison")
	if poison {
		duration /= 2
	}
	status := s.sleep(ctx, t.life, duration)
	if status == Crashed {
		return status
	}
	if poison && status == Completed {
		s.Crash()
		return Crashed
	}
	s.waitForThaw(t.life)
	switch {
	case s.stale(t):
		// Also a cancelled request has met the newer epoch, and had no effect.
		return Fenced
	case ctx.Err() != nil:
		return Cancelled
	case s.fails():
		return Failed
	}
	return status
}

func (s *Server) fails() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.settings.ErrorProbability > 0 && s.random.Float64() < s.settings.ErrorProbability
}
