package generator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Run sends the configured load and returns when every request has ended. When the context ends, it sends no further
// requests, waits for those in flight and reports the results so far. It returns an error only if the configuration is
// invalid.
func Run(ctx context.Context, c Config) (Report, error) {
	c = c.withDefaults()
	if err := c.check(); err != nil {
		return Report{}, errors.Wrap(err, "load configuration")
	}
	dialer := &net.Dialer{Timeout: defaultTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: c.MaxConnections,
		MaxConnsPerHost: c.MaxConnections, DisableCompression: true, IdleConnTimeout: time.Minute,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		config: c, transport: transport, runID: fmt.Sprintf("%08x", rand.Uint32()),
		slots: make(chan struct{}, c.MaxInFlight), started: time.Now(),
	}
	return r.execute(ctx), nil
}

type runner struct {
	config    Config
	transport *http.Transport
	runID     string
	slots     chan struct{}
	started   time.Time
	requests  sync.WaitGroup

	mutex            sync.Mutex
	notRunIDs        []string
	notRunIDsDropped uint64
}

func (r *runner) execute(ctx context.Context) Report {
	stats := make([]*streamStats, len(r.config.Streams))
	var streams sync.WaitGroup
	for i, s := range r.config.Streams {
		wait := time.Duration(r.config.Retries+1)*(s.Timeout.Value()+responseGrace) +
			time.Duration(r.config.Retries)*r.config.RetryDelay.Value()
		stats[i] = newStreamStats(s, int((r.config.Duration.Value()+wait)/seriesInterval)+1)
		streams.Go(func() { r.sendStream(ctx, i, stats[i]) })
	}
	streams.Wait()
	r.requests.Wait()
	report := Report{
		RunID: r.runID, ElapsedSeconds: time.Since(r.started).Seconds(), Ranks: sumByRank(stats),
		NotRunIDs: r.notRunIDs, NotRunIDsDropped: r.notRunIDsDropped,
	}
	for _, t := range stats {
		report.Streams = append(report.Streams, t.report())
	}
	return report
}

// sendStream sends the requests of a stream at their intended times. Requests beyond MaxInFlight count as overflow.
func (r *runner) sendStream(ctx context.Context, index int, t *streamStats) {
	s := &t.stream
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(index)))
	arrivals, keys := newArrivalProcess(random, r.config.Arrivals, *s), newKeySampler(random, s.KeyCount, s.ZipfExponent)
	targets := targetURLs(r.config.Entries, s.Path)
	for number := 0; ; number++ {
		intended := arrivals.next()
		if intended >= s.Stop.Value() || !sleepUntil(ctx, r.started.Add(intended)) {
			return
		}
		req := request{
			baseID: r.runID + "-" + strconv.Itoa(index) + "-" + fmt.Sprintf("%09d", number),
			stats:  t, intended: intended, targets: targets, entry: random.IntN(len(targets)),
		}
		if s.KeyCount > 0 {
			req.key = s.KeyPrefix + strconv.Itoa(keys.next())
		}
		select {
		case r.slots <- struct{}{}:
			t.recordSend(time.Since(r.started) - intended)
			r.requests.Go(func() {
				defer func() { <-r.slots }()
				r.sendWithRetries(ctx, req)
			})
		default:
			t.recordOverflow()
		}
	}
}

// sleepUntil waits until a time. It reports false if the context ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if wait := time.Until(at); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func targetURLs(entries []netip.AddrPort, path string) []*url.URL {
	targets := make([]*url.URL, len(entries))
	name, query, _ := strings.Cut(path, "?")
	for i, e := range entries {
		targets[i] = &url.URL{Scheme: "http", Host: e.String(), Path: name, RawQuery: query}
	}
	return targets
}

// request is a request of a stream. It may take several attempts, whose ids begin with baseID. The field entry is the
// index of the next target.
type request struct {
	baseID   string
	key      string
	stats    *streamStats
	intended time.Duration
	targets  []*url.URL
	entry    int
}

// sendWithRetries sends a request. It retries a non-repeatable request that was not answered, if retries are
// configured.
func (r *runner) sendWithRetries(ctx context.Context, req request) {
	final, last := notRun, result{}
	attempts := 0
	for {
		a := attempt{
			baseID: req.baseID, id: req.baseID, key: req.key, stream: &req.stats.stream, target: req.targets[req.entry],
		}
		if attempts > 0 {
			a.id += "-r" + strconv.Itoa(attempts)
		}
		last = a.send(context.WithoutCancel(ctx), r.transport, r.config.Direct)
		req.stats.recordAttempt(last, attempts)
		attempts++
		switch last.outcome {
		case answered, unknown:
			final = last.outcome
		case notRun:
			r.recordNotRun(a.id)
		}
		if final == answered || !req.stats.stream.NonRepeatable || attempts > r.config.Retries {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(r.config.RetryDelay.Value())) {
			break
		}
		req.entry = (req.entry + 1) % len(req.targets)
	}
	now := time.Since(r.started)
	req.stats.recordOutcome(final, last.status, now-req.intended, now, attempts)
}

func (r *runner) recordNotRun(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.notRunIDs) >= r.config.MaxNotRunIDs {
		r.notRunIDsDropped++
		return
	}
	r.notRunIDs = append(r.notRunIDs, id)
}
