package experimenter

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// closedLoop is a closed-loop load: each worker waits for the response before it sends its next request.
type closedLoop struct {
	entry        netip.AddrPort
	service, key string
	// direct means that entry is the address of a backend server, whose responses have no outcome header.
	direct bool

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	answered  uint64
	failed    uint64
}

// run sends requests until the duration has passed or the context ends.
func (l *closedLoop) run(ctx context.Context, workers int, duration time.Duration) {
	const highest, significantFigures = int64(10 * time.Second / time.Microsecond), 3
	l.histogram = hdrhistogram.New(1, highest, significantFigures)
	transport := &http.Transport{MaxIdleConnsPerHost: workers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	end := time.Now().Add(duration)
	var tasks sync.WaitGroup
	for range workers {
		tasks.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				started := time.Now()
				l.count(l.send(ctx, transport), time.Since(started))
			}
		})
	}
	tasks.Wait()
}

// send reports whether the request was answered.
func (l *closedLoop) send(ctx context.Context, transport http.RoundTripper) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.entry.String()+"/", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Hibiscus-Service", l.service)
	request.Header.Set("Hibiscus-Key", l.key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return err == nil && response.StatusCode == http.StatusOK && (l.direct || response.Header.Get("Hibiscus-Outcome") == "answered")
}

func (l *closedLoop) count(answered bool, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !answered {
		l.failed++
		return
	}
	l.answered++
	// The value is limited to the histogram's range, so RecordValue returns no error.
	_ = l.histogram.RecordValue(min(latency.Microseconds(), l.histogram.HighestTrackableValue()))
}

func (l *closedLoop) latency() LatencyQuantiles {
	return LatencyQuantiles{
		P50: float64(l.histogram.ValueAtQuantile(50)) / 1000, P99: float64(l.histogram.ValueAtQuantile(99)) / 1000,
	}
}
