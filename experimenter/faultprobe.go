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
	// probeInterval is the time between two requests for a key, and so the resolution of unavailable times.
	probeInterval = 50 * time.Millisecond
	// probeTimeout exceeds all bounds on unavailable times, so that a request waits at its entry until its key is
	// served.
	probeTimeout = 4 * time.Second
)

// probeSuccess holds the times of an answered probe request, since the start of the load.
type probeSuccess struct{ sent, answered time.Duration }

// probe periodically requests one key through processes without faults.
type probe struct {
	service, key string
	mu           sync.Mutex
	successes    []probeSuccess
}

// longestGap returns the longest time between two answers that overlaps a window, not counting the part before the
// window.
func (p *probe) longestGap(from, to time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest time.Duration
	last := time.Duration(0)
	for _, s := range p.successes {
		if last < to && s.answered > from {
			longest = max(longest, s.answered-max(last, from))
		}
		last = s.answered
	}
	if last < to {
		longest = max(longest, to-max(last, from))
	}
	return longest
}

// run sends requests until the context ends.
func (p *probe) run(ctx context.Context, entryFor func(int) *launcher.Node, started time.Time) {
	client := &http.Client{Timeout: probeTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	// Requests overlap, so that one that is lost at a killed owner doesn't hide that the key is served again. There are
	// enough slots to continue even if every request waits until the client times out.
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
			if n := entryFor(i); n != nil && sendProbe(ctx, client, n, p.service, p.key) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.successes = append(p.successes, probeSuccess{sent, time.Since(started)})
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

// inFlightLoad keeps requests in flight at a process that is about to stop, and counts those that fail.
type inFlightLoad struct {
	stop    context.CancelFunc
	failed  atomic.Int64
	sent    atomic.Int64
	callers sync.WaitGroup
	// lastFailure is a string.
	lastFailure atomic.Value
}

const inFlightCallers = 8

func startInFlight(ctx context.Context, entry *launcher.Node, service string) *inFlightLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &inFlightLoad{stop: cancel}
	for i := range inFlightCallers {
		l.callers.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := 0; ctx.Err() == nil; k++ {
				if !l.send(client, entry, service, fmt.Sprintf("flight-%d-%d", i, k%20)) {
					return
				}
			}
		})
	}
	return l
}

// send reports whether to continue. The process refuses connections once it has stopped, which is not counted as a
// failure.
func (l *inFlightLoad) send(client *http.Client, entry *launcher.Node, service, key string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry.Settings.Listen.String()+"/flight", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Hibiscus-Service", service)
	request.Header.Set("Hibiscus-Key", key)
	response, err := client.Do(request)
	if err != nil {
		if !isConnectionRefused(err) {
			l.fail(err.Error())
		}
		return false
	}
	l.sent.Add(1)
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if outcome := response.Header.Get("Hibiscus-Outcome"); err != nil || outcome != "answered" {
		l.fail(fmt.Sprintf("%s %s %v", outcome, response.Header.Get("Hibiscus-Reason"), err))
	}
	return true
}

func (l *inFlightLoad) fail(cause string) {
	l.failed.Add(1)
	l.lastFailure.Store(cause)
}
