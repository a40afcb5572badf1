package executor

import (
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/platform"
	"hibiscusline/quarantiner"
	"hibiscusline/timer"
)

// Fingerprint identifies the request across retries, which come with other ids and at any process.
func (j *Job) Fingerprint() uint64 {
	if j.fingerprint == 0 {
		j.fingerprint = j.newFingerprint()
	}
	return j.fingerprint
}

func (j *Job) newFingerprint() uint64 {
	q := j.Request
	r := quarantiner.Request{Service: q.Host, Method: q.Method, Path: q.Target}
	if call := platform.DecodeRequestHeader(q.Header); call.HasKey {
		r.Key = strconv.Itoa(int(call.Key))
	}
	if len(q.Body) > 0 {
		r.BodyHash = xxhash.Sum64(q.Body)
	}
	return quarantiner.Fingerprint(r)
}

// PoisonRefusal returns the refusal of a request that a quarantine lists as one that crashes servers.
func PoisonRefusal(t *quarantiner.Tracker, j *Job) Result {
	return Result{
		Outcome: NotRun, Reason: Poison, RetryAfter: t.RefusedFor(timer.Now(), j.Fingerprint()), Crashes: t.Marks(j.Fingerprint()),
	}
}

// settle records how the run of a request ended, and returns the crashes that count against it.
func (g *Executor) settle(running quarantiner.Running, r Result, s Server) []applier.InFlightCrash {
	switch {
	case r.Outcome == Answered:
		g.config.Quarantine.Finish(timer.Now(), running)
		return nil
	case r.connectionBroke && g.refusesConnections() && !g.leaves(s.Instance):
		g.recordCrash(running, s)
	default:
		g.config.Quarantine.Cancel(running)
	}
	return g.config.Quarantine.Marks(running.Fingerprint)
}

// recordCrash records a crash of the server, unless another request of the same crash has done so.
func (g *Executor) recordCrash(running quarantiner.Running, s Server) {
	record, isNew := g.config.Quarantine.Crash(timer.Now(), running)
	if !isNew {
		return
	}
	_ = g.config.Logger.Log("event", "server_crashed", "instance", s.Instance, "in_flight", len(record.Fingerprints),
		"fingerprint", strconv.FormatUint(running.Fingerprint, 16))
	g.config.OnConnectionRefused(s.Instance)
	g.config.OnCrash(record)
}

// crashProbeTimeout bounds each attempt to connect to a server on whose connections requests have failed.
const crashProbeTimeout = 100 * time.Millisecond

// refusesConnections reports whether nothing listens at the address of the server. A server that resets connections, because it
// is full or has forgotten them, still does, and one that doesn't answer may be cut off.
func (g *Executor) refusesConnections() bool {
	_, err, _ := g.probes.Do("", func() (any, error) {
		return nil, quarantiner.ProbeConnections(g.config.Backend, crashProbeTimeout)
	})
	return errors.Is(err, syscall.ECONNREFUSED)
}

// leaves reports whether a server has announced that it leaves, or another has taken its place. Its end is no crash then.
func (g *Executor) leaves(instance string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server.Instance != "" && g.server.Instance != instance || g.server.RefuseFrom != 0
}
