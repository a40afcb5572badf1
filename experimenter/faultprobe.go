package experimenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hibiscusline/launcher"
)

const (
	probedKeys = 12
	// probeInterval is the resolution of the unavailable times.
	probeInterval = 50 * time.Millisecond
	// probeTimeout exceeds every promised time, so that a request waits at its entry until its key is served.
	probeTimeout = 4 * time.Second
)

// success is an answer to a probe, by the times since the start of the load.
type success struct{ sent, answered time.Duration }

// probe asks for one key again and again at processes that have no fault of their own.
type probe struct {
	service, key string
	mu           sync.Mutex
	successes    []success
}

// worst returns the longest time without answer that overlaps a window, not counting what lies before its start.
func (p *probe) worst(from, to time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var worst time.Duration
	last := time.Duration(0)
	for _, s := range p.successes {
		if last < to && s.answered > from {
			worst = max(worst, s.answered-max(last, from))
		}
		last = s.answered
	}
	if last < to {
		worst = max(worst, to-max(last, from))
	}
	return worst
}

// run probes until the context ends.
func (p *probe) run(ctx context.Context, entry func(int) *launcher.Node, started time.Time) {
	client := &http.Client{Timeout: probeTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	// Requests overlap, since one that is lost at a killed owner must not hide that the key is served again. There are
	// enough slots that probes go on when every one waits until the client gives it up.
	slots := make(chan struct{}, (probeTimeout+time.Second)/probeInterval)
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		requests.Go(func() {
			defer func() { <-slots }()
			sent := time.Since(started)
			if n := entry(i); n != nil && sendProbe(ctx, client, n, p.service, p.key) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.successes = append(p.successes, success{sent, time.Since(started)})
			}
		})
	}
}

var probeNumber atomic.Uint64

func sendProbe(ctx context.Context, client *http.Client, entry *launcher.Node, service, key string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Settings.Listen.String()+"/probe", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Hibiscus-Service", service)
	request.Header.Set("Hibiscus-Key", key)
	request.Header.Set("Hibiscus-Timeout-Ms", strconv.FormatInt(probeTimeout.Milliseconds(), 10))
	request.Header.Set("X-Request-Id", fmt.Sprintf("probe-%d", probeNumber.Add(1)))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Hibiscus-Outcome") == "answered"
}

// inFlightTest keeps requests in flight at a process that is about to stop and counts those that fail.
type inFlightTest struct {
	stop   context.CancelFunc
	failed atomic.Int64
	sent   atomic.Int64
	tasks  sync.WaitGroup
	// cause is the last failure.
	cause atomic.Value
}

const inFlightCallers = 8

func startInFlight(ctx context.Context, entry *launcher.Node, service string) *inFlightTest {
	ctx, cancel := context.WithCancel(ctx)
	t := &inFlightTest{stop: cancel}
	for i := range inFlightCallers {
		t.tasks.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := 0; ctx.Err() == nil; k++ {
				if !t.send(client, entry, service, fmt.Sprintf("flight-%d-%d", i, k%20)) {
					return
				}
			}
		})
	}
	return t
}

// send reports false when the process takes no more connections, which is the end of the test and not a failure.
func (t *inFlightTest) send(client *http.Client, entry *launcher.Node, service, key string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.Settings.Listen.String()+"/flight", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Hibiscus-Service", service)
	request.Header.Set("Hibiscus-Key", key)
	response, err := client.Do(request)
	if err != nil {
		if !refusedConnection(err) {
			t.fail(err.Error())
		}
		return false
	}
	t.sent.Add(1)
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if outcome := response.Header.Get("Hibiscus-Outcome"); err != nil || outcome != "answered" {
		t.fail(fmt.Sprintf("%s %s %v", outcome, response.Header.Get("Hibiscus-Reason"), err))
	}
	return true
}

func (t *inFlightTest) fail(cause string) {
	t.failed.Add(1)
	t.cause.Store(cause)
}
