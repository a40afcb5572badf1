package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/disruptor"
	"hibiscusline/emulator"
	"hibiscusline/follower"
	"hibiscusline/launcher"
	"hibiscusline/timer"
	"hibiscusline/validator"
)

// inflict carries one fault out and ends it.
func (r *faultRun) inflict(ctx context.Context, f *fault) {
	if !waitUntil(ctx, r.started.Add(f.begin())) {
		return
	}
	n := r.aim(f)
	defer r.mark(f.Node, -1)
	if slices.Contains(lossFaults, f.Kind) {
		r.lose(f, n)
		defer r.regain(f)
	}
	end := func() { waitUntil(ctx, r.started.Add(f.end())) }
	if err := r.perform(ctx, f, n, end); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Failures = append(r.result.Failures, fmt.Sprintf("%s at %d ms: %v", f.Kind, f.At, err))
	}
}

// aim chooses the process that a fault hits and marks it. A fault of an owner goes to a process that owns a probed key,
// since it could not be judged otherwise, and to one that has no fault yet.
func (r *faultRun) aim(f *fault) *launcher.Node {
	var candidates []*launcher.Node
	switch {
	case f.Kind == faultGuardian:
		candidates = r.watch.guardians(r.fleet.Nodes[f.Node])
	case slices.Contains(lossFaults, f.Kind) || f.Kind == faultCutLog:
		for _, p := range r.probes {
			candidates = append(candidates, r.watch.owner(p.service, p.key))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.fleet.Nodes {
		i := (f.Node + k) % len(r.fleet.Nodes)
		if r.hit[i] == 0 && slices.Contains(candidates, r.fleet.Nodes[i]) {
			f.Node = i
			break
		}
	}
	r.hit[f.Node]++
	return r.fleet.Nodes[f.Node]
}

func waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
	return ctx.Err() == nil
}

func (r *faultRun) mark(node, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hit[node] += change
}

func (r *faultRun) perform(ctx context.Context, f *fault, n *launcher.Node, end func()) error {
	switch f.Kind {
	case faultKill, faultGuardian:
		if err := n.Kill(); err != nil {
			return err
		}
		if r.isMutual(f) {
			r.evict(ctx, n)
		}
		end()
		return n.Start()
	case faultFreeze:
		if err := n.Freeze(); err != nil {
			return err
		}
		end()
		return n.Thaw()
	case faultCutLog, faultCutPeers, faultCutBoth, faultOneWay, faultLossy:
		r.cut(f, n, end)
	case faultLogDown, faultLogSlow, faultLogLoses, faultLogTrims:
		return r.disturbLog(f, end)
	case faultServerCrash:
		n.Server.Crash()
		end()
	case faultServerFreeze:
		n.Server.Freeze()
		end()
		n.Server.Thaw()
	case faultServerDrain:
		return r.drain(f, n)
	case faultMove:
		return r.move(ctx, f, n)
	case faultRolling:
		return r.rolling(ctx, f)
	case faultRace:
		return r.race(ctx, f)
	case faultPoison:
		return r.poison(ctx, n)
	}
	return nil
}

func (r *faultRun) isMutual(f *fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.Mutual
}

func (r *faultRun) evict(ctx context.Context, n *launcher.Node) {
	if m, present := r.watch.member(n); present {
		// The operator's command is lost when the log is down; the member is then evicted by nobody.
		_, _ = r.fleet.Client.Append(ctx, appender.NewEnvelope(applier.Evict{Member: m.ID, Operator: "liis"}))
	}
}

func (r *faultRun) cut(f *fault, n *launcher.Node, end func()) {
	switch f.Kind {
	case faultCutLog:
		n.CutLog(true)
	case faultCutPeers:
		n.CutPeers(true, true)
	case faultCutBoth:
		n.CutLog(true)
		n.CutPeers(true, true)
	case faultOneWay:
		n.CutPeers(f.At%2 == 0, f.At%2 == 1)
	case faultLossy:
		for _, each := range r.fleet.Nodes {
			each.Disturb(disruptor.Toxics{
				Latency: time.Millisecond, Jitter: time.Millisecond, Loss: 0.05, Reordering: 0.1,
				ReorderingDelay: 4 * time.Millisecond, Duplication: 0.02,
			})
		}
	}
	end()
	if f.Kind == faultLossy {
		for _, each := range r.fleet.Nodes {
			each.Disturb(disruptor.Toxics{})
		}
		return
	}
	n.CutLog(false)
	n.CutPeers(false, false)
}

func (r *faultRun) disturbLog(f *fault, end func()) error {
	edit := map[string]func(*emulator.LogSettings){
		faultLogDown: func(s *emulator.LogSettings) { s.Down = emulator.Refuse + emulator.Outage(f.At%2) },
		faultLogSlow: func(s *emulator.LogSettings) {
			s.AppendDelay, s.ReadDelay = validator.Duration(300*time.Millisecond), validator.Duration(200*time.Millisecond)
		},
		faultLogLoses: func(s *emulator.LogSettings) { s.LoseProbability = 0.6 },
		faultLogTrims: func(s *emulator.LogSettings) { s.RetainCount = 20 },
	}[f.Kind]
	if err := r.fleet.Log.Change(edit); err != nil {
		return err
	}
	end()
	return r.fleet.Log.Change(func(s *emulator.LogSettings) { *s = emulator.LogSettings{} })
}

// drain lets a backend server announce that it leaves, and then come back.
func (r *faultRun) drain(f *fault, n *launcher.Node) error {
	from := timer.Now()
	n.Server.Drain()
	const leave = 5 * time.Second
	time.Sleep(leave)
	r.mu.Lock()
	r.leaving = append(r.leaving, leavingServer{n.Name, from, timer.Now()})
	r.mu.Unlock()
	return n.Server.Change(func(s *emulator.ServerSettings) { s.Draining = false })
}

// move gives the range of a probed key to another member. A refusal, such as by an owner that is not well, is no failure.
func (r *faultRun) move(ctx context.Context, f *fault, n *launcher.Node) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	moved := 0
	for _, p := range r.probes {
		owner, others, err := r.fleet.Owner(ctx, p.service, p.key)
		if err != nil || len(others) == 0 {
			continue
		}
		if err := r.fleet.Move(ctx, owner.Admin, p.service, p.key, others[int(f.At)%len(others)].ID); err == nil {
			moved++
		}
	}
	f.Result = fmt.Sprintf("%d of %d moved", moved, len(r.probes))
	return nil
}

// rolling restarts some processes one by one, with requests in flight at each.
func (r *faultRun) rolling(ctx context.Context, f *fault) error {
	for i := range 2 {
		index := (f.Node + 3*i) % len(r.fleet.Nodes)
		n := r.fleet.Nodes[index]
		t := startInFlight(ctx, n, "desk")
		time.Sleep(300 * time.Millisecond)
		r.mark(index, 1)
		stopping, cancel := context.WithTimeout(ctx, 20*time.Second)
		err := n.Stop(stopping)
		cancel()
		t.stop()
		t.tasks.Wait()
		r.mu.Lock()
		r.result.CutInFlight += t.failed.Load()
		r.result.InFlightSent += t.sent.Load()
		r.mu.Unlock()
		f.Result += fmt.Sprintf(" %s: %d sent, %d failed;", n.Name, t.sent.Load(), t.failed.Load())
		if cause := t.cause.Load(); cause != nil {
			f.Result += fmt.Sprintf(" last failure: %s;", cause)
		}
		if startErr := n.Start(); err == nil {
			err = startErr
		}
		r.mark(index, -1)
		if err != nil {
			return err
		}
	}
	return nil
}

// race lets two operators publish different configurations that were made from the same version. Exactly one may win.
func (r *faultRun) race(ctx context.Context, f *fault) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	base, err := appender.Load(ctx, r.fleet.Client)
	if err != nil {
		f.Result = err.Error()
		return nil
	}
	var version applier.Offset
	base.View(func(s *applier.State) { version = s.Version })
	var tasks sync.WaitGroup
	var accepted, rejected int
	for i, operator := range []string{"liis", "tormi"} {
		tasks.Go(func() {
			c := faultConfiguration()
			c.Ranks["order"] = validator.Rank{Floor: 0.3, LatencyTarget: validator.Duration(time.Duration(f.At+int64(i)) * time.Millisecond)}
			state := &follower.Follower{}
			result, err := appender.Commit(ctx, r.fleet.Client, state, appender.NewEnvelope(applier.Propose{Author: operator, Base: version, Configuration: c}))
			r.mu.Lock()
			defer r.mu.Unlock()
			switch {
			case err != nil:
			case result.Accepted:
				accepted++
			default:
				rejected++
			}
		})
	}
	tasks.Wait()
	f.Result = fmt.Sprintf("%d accepted, %d rejected", accepted, rejected)
	if accepted > 1 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.ConfigReverted++
	}
	return nil
}

// poison sends a request that crashes each server that runs it, again and again.
func (r *faultRun) poison(ctx context.Context, n *launcher.Node) error {
	crashes := func() (sum uint64) {
		for _, each := range r.fleet.Nodes {
			sum += each.Server.Counts().Crashes
		}
		return sum
	}
	before := crashes()
	client := &http.Client{Timeout: 3 * time.Second}
	for i := range 8 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Listen.String()+"/poison/bolt", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Hibiscus-Service", "archive")
		if n.Settings.Listen.Port()%2 == 0 {
			request.Header.Set("Hibiscus-Service", "stock")
			request.Header.Set("Hibiscus-Key", "poisoned")
		}
		request.Header.Set("Hibiscus-Timeout-Ms", "1500")
		request.Header.Set("X-Request-Id", fmt.Sprintf("poison-%d", i))
		if response, err := client.Do(request); err == nil {
			if err := response.Body.Close(); err != nil {
				return err
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.PoisonCrashes = max(r.result.PoisonCrashes, crashes()-before)
	return nil
}
