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

// Run sends the configured load and returns when every request has ended. When the context ends it sends no more, waits
// for the requests in flight and reports what was done. An error means that the configuration is not valid.
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
		config: c, transport: transport, run: fmt.Sprintf("%08x", rand.Uint32()),
		slots: make(chan struct{}, c.MaxInFlight), started: time.Now(),
	}
	return r.execute(ctx), nil
}

type runner struct {
	config    Config
	transport *http.Transport
	run       string
	slots     chan struct{}
	started   time.Time
	requests  sync.WaitGroup

	mutex   sync.Mutex
	ids     []string
	dropped uint64
}

func (r *runner) execute(ctx context.Context) Report {
	tallies := make([]*tally, len(r.config.Streams))
	var streams sync.WaitGroup
	for i, s := range r.config.Streams {
		wait := time.Duration(r.config.Retries+1)*(s.Timeout.Value()+answerGrace) +
			time.Duration(r.config.Retries)*r.config.RetryDelay.Value()
		tallies[i] = newTally(s, int((r.config.Duration.Value()+wait)/seriesInterval)+1)
		streams.Go(func() { r.sendStream(ctx, i, tallies[i]) })
	}
	streams.Wait()
	r.requests.Wait()
	report := Report{
		RunID: r.run, ElapsedSeconds: time.Since(r.started).Seconds(), Ranks: byRank(tallies),
		NotRunIDs: r.ids, NotRunIDsDropped: r.dropped,
	}
	for _, t := range tallies {
		report.Streams = append(report.Streams, t.report())
	}
	return report
}

// sendStream starts the requests of a stream at their times.
func (r *runner) sendStream(ctx context.Context, index int, t *tally) {
	s := &t.stream
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(index)))
	pace, keys := newPacer(random, r.config.Arrivals, *s), newChooser(random, s.KeyCount, s.ZipfExponent)
	targets := targetURLs(r.config.Entries, s.Path)
	for number := 0; ; number++ {
		intended := pace.next()
		if intended >= s.Stop.Value() || !sleepUntil(ctx, r.started.Add(intended)) {
			return
		}
		j := job{
			base:  r.run + "-" + strconv.Itoa(index) + "-" + fmt.Sprintf("%09d", number),
			tally: t, intended: intended, targets: targets, entry: random.IntN(len(targets)),
		}
		if s.KeyCount > 0 {
			j.key = s.KeyPrefix + strconv.Itoa(keys.next())
		}
		select {
		case r.slots <- struct{}{}:
			t.sent(time.Since(r.started) - intended)
			r.requests.Go(func() {
				defer func() { <-r.slots }()
				r.complete(ctx, j)
			})
		default:
			t.overflow()
		}
	}
}

// sleepUntil reports false when the context ended first.
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

// job is one request with all its attempts.
type job struct {
	base     string
	key      string
	tally    *tally
	intended time.Duration
	targets  []*url.URL
	entry    int
}

// complete sends a request, and again when it is non-repeatable, not answered and resends are configured.
func (r *runner) complete(ctx context.Context, j job) {
	final, last := notRun, result{}
	attempts := 0
	for {
		a := attempt{base: j.base, id: j.base, key: j.key, stream: &j.tally.stream, target: j.targets[j.entry]}
		if attempts > 0 {
			a.id += "-r" + strconv.Itoa(attempts)
		}
		last = a.send(context.WithoutCancel(ctx), r.transport, r.config.Direct)
		j.tally.attempt(last, attempts)
		attempts++
		switch last.outcome {
		case answered, unknown:
			final = last.outcome
		case notRun:
			r.recordNotRun(a.id)
		}
		if final == answered || !j.tally.stream.NonIdempotent || attempts > r.config.Retries {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(r.config.RetryDelay.Value())) {
			break
		}
		j.entry = (j.entry + 1) % len(j.targets)
	}
	now := time.Since(r.started)
	j.tally.finish(final, last.status, now-j.intended, now, attempts)
}

func (r *runner) recordNotRun(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.ids) >= r.config.MaxNotRunIDs {
		r.dropped++
		return
	}
	r.ids = append(r.ids, id)
}
