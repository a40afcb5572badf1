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

// inject starts a fault at its time and ends it. An error is added to the failures of the result.
func (r *faultRun) inject(ctx context.Context, f *fault) {
	if !waitUntil(ctx, r.started.Add(f.begin())) {
		return
	}
	n := r.selectTarget(f)
	defer r.addActiveFaults(f.Node, -1)
	if slices.Contains(ownerLossFaults, f.Kind) {
		r.recordOwnerLoss(f, n)
		defer r.clearOwnerLoss(f)
	}
	waitForEnd := func() { waitUntil(ctx, r.started.Add(f.end())) }
	if err := r.execute(ctx, f, n, waitForEnd); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Failures = append(r.result.Failures, fmt.Sprintf("%s at %d ms: %v", f.Kind, f.AtMs, err))
	}
}

// selectTarget chooses the process that a fault affects and counts the fault there. A fault of an owner goes to a
// process that owns a probed key, since its effect can't be measured otherwise, and a guardian fault to a guardian of
// the drawn process. Only processes without other faults qualify. Otherwise the process is the one that was drawn.
func (r *faultRun) selectTarget(f *fault) *launcher.Node {
	var candidates []*launcher.Node
	switch {
	case f.Kind == faultGuardianKilled:
		candidates = r.watcher.guardians(r.fleet.Nodes[f.Node])
	case slices.Contains(ownerLossFaults, f.Kind) || f.Kind == faultCutLog:
		for _, p := range r.probes {
			candidates = append(candidates, r.watcher.owner(p.service, p.key))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.fleet.Nodes {
		i := (f.Node + k) % len(r.fleet.Nodes)
		if r.activeFaults[i] == 0 && slices.Contains(candidates, r.fleet.Nodes[i]) {
			f.Node = i
			break
		}
	}
	r.activeFaults[f.Node]++
	return r.fleet.Nodes[f.Node]
}

// waitUntil waits until a point in time. It returns false if the context has ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(at)):
	}
	return ctx.Err() == nil
}

func (r *faultRun) addActiveFaults(node, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeFaults[node] += change
}

// execute injects a fault and ends it. For faults with a duration, it calls waitForEnd in between.
func (r *faultRun) execute(ctx context.Context, f *fault, n *launcher.Node, waitForEnd func()) error {
	switch f.Kind {
	case faultKill, faultGuardianKilled:
		if err := n.Kill(); err != nil {
			return err
		}
		if r.isMutual(f) {
			r.evict(ctx, n)
		}
		waitForEnd()
		return n.Start()
	case faultFreeze:
		if err := n.Freeze(); err != nil {
			return err
		}
		waitForEnd()
		return n.Thaw()
	case faultCutLog, faultCutPeers, faultCutBoth, faultCutOneWay, faultLossyNetwork:
		r.disturbNetwork(f, n, waitForEnd)
	case faultLogDown, faultLogSlow, faultLogLosesAnswers, faultLogTrims:
		return r.disturbLog(f, waitForEnd)
	case faultServerCrash:
		n.Server.Crash()
		waitForEnd()
	case faultServerFreeze:
		n.Server.Freeze()
		waitForEnd()
		n.Server.Thaw()
	case faultServerDrain:
		return r.drainServer(f, n)
	case faultPlannedMove:
		return r.moveKeys(ctx, f, n)
	case faultRollingRestart:
		return r.rollingRestart(ctx, f)
	case faultRacingConfigurations:
		return r.raceConfigurations(ctx, f)
	case faultPoison:
		return r.sendPoisonRequests(ctx, n)
	}
	return nil
}

func (r *faultRun) isMutual(f *fault) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.Mutual
}

// evict appends an operator's Evict record for the newest member of a process.
func (r *faultRun) evict(ctx context.Context, n *launcher.Node) {
	if m, present := r.watcher.member(n); present {
		// The append fails while the log is down. The member is then not evicted.
		_, _ = r.fleet.Client.Append(ctx, appender.NewEnvelope(applier.Evict{Member: m.ID, Operator: "liis"}))
	}
}

func (r *faultRun) disturbNetwork(f *fault, n *launcher.Node, waitForEnd func()) {
	switch f.Kind {
	case faultCutLog:
		n.BlackholeLog(true)
	case faultCutPeers:
		n.PartitionFromPeers(true, true)
	case faultCutBoth:
		n.BlackholeLog(true)
		n.PartitionFromPeers(true, true)
	case faultCutOneWay:
		n.PartitionFromPeers(f.AtMs%2 == 0, f.AtMs%2 == 1)
	case faultLossyNetwork:
		for _, each := range r.fleet.Nodes {
			each.SetPeerFaults(disruptor.Faults{
				Latency: time.Millisecond, Jitter: time.Millisecond, Loss: 0.05, Reordering: 0.1,
				ReorderingDelay: 4 * time.Millisecond, Duplication: 0.02,
			})
		}
	}
	waitForEnd()
	if f.Kind == faultLossyNetwork {
		for _, each := range r.fleet.Nodes {
			each.SetPeerFaults(disruptor.Faults{})
		}
		return
	}
	n.BlackholeLog(false)
	n.PartitionFromPeers(false, false)
}

func (r *faultRun) disturbLog(f *fault, waitForEnd func()) error {
	edit := map[string]func(*emulator.LogSettings){
		faultLogDown: func(s *emulator.LogSettings) { s.Outage = emulator.Refuse + emulator.Outage(f.AtMs%2) },
		faultLogSlow: func(s *emulator.LogSettings) {
			s.AppendDelay, s.ReadDelay = validator.Duration(300*time.Millisecond), validator.Duration(200*time.Millisecond)
		},
		faultLogLosesAnswers: func(s *emulator.LogSettings) { s.LoseProbability = 0.6 },
		faultLogTrims:        func(s *emulator.LogSettings) { s.RetainCount = 20 },
	}[f.Kind]
	if err := r.fleet.Log.Change(edit); err != nil {
		return err
	}
	waitForEnd()
	return r.fleet.Log.Change(func(s *emulator.LogSettings) { *s = emulator.LogSettings{} })
}

// drainServer makes a backend server announce that it drains, and revokes this after drainDuration.
func (r *faultRun) drainServer(f *fault, n *launcher.Node) error {
	from := timer.Now()
	n.Server.Drain()
	const drainDuration = 5 * time.Second
	time.Sleep(drainDuration)
	r.mu.Lock()
	r.drainingServers = append(r.drainingServers, drainingServer{n.Name, from, timer.Now()})
	r.mu.Unlock()
	return n.Server.Change(func(s *emulator.ServerSettings) { s.Draining = false })
}

// moveKeys moves the range of each probed key to another member. A refusal, such as by an unhealthy owner, is not a
// failure.
func (r *faultRun) moveKeys(ctx context.Context, f *fault, n *launcher.Node) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	moved := 0
	for _, p := range r.probes {
		owner, others, err := r.fleet.Owner(ctx, p.service, p.key)
		if err != nil || len(others) == 0 {
			continue
		}
		if err := r.fleet.Move(ctx, owner.Admin, p.service, p.key, others[int(f.AtMs)%len(others)].ID); err == nil {
			moved++
		}
	}
	f.Result = fmt.Sprintf("%d of %d moved", moved, len(r.probes))
	return nil
}

// rollingRestart restarts two processes one after the other, each with requests in flight.
func (r *faultRun) rollingRestart(ctx context.Context, f *fault) error {
	for i := range 2 {
		index := (f.Node + 3*i) % len(r.fleet.Nodes)
		n := r.fleet.Nodes[index]
		load := startInFlight(ctx, n, "desk")
		time.Sleep(300 * time.Millisecond)
		r.addActiveFaults(index, 1)
		stopping, cancel := context.WithTimeout(ctx, 20*time.Second)
		err := n.Stop(stopping)
		cancel()
		load.stop()
		load.callers.Wait()
		r.mu.Lock()
		r.result.CutInFlight += load.failed.Load()
		r.result.InFlightSent += load.sent.Load()
		r.mu.Unlock()
		f.Result += fmt.Sprintf(" %s: %d sent, %d failed;", n.Name, load.sent.Load(), load.failed.Load())
		if cause := load.lastFailure.Load(); cause != nil {
			f.Result += fmt.Sprintf(" last failure: %s;", cause)
		}
		if startErr := n.Start(); err == nil {
			err = startErr
		}
		r.addActiveFaults(index, -1)
		if err != nil {
			return err
		}
	}
	return nil
}

// raceConfigurations makes two operators publish different configurations based on the same version. At most one may be
// accepted.
func (r *faultRun) raceConfigurations(ctx context.Context, f *fault) error {
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
			c.Ranks["order"] = validator.Rank{
				Floor: 0.3, LatencyTarget: validator.Duration(time.Duration(f.AtMs+int64(i)) * time.Millisecond),
			}
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

// sendPoisonRequests repeatedly sends a request that crashes any server that runs it.
func (r *faultRun) sendPoisonRequests(ctx context.Context, n *launcher.Node) error {
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
