package launcher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures requests through the daemon of the owner, for profiling with -cpuprofile. The client, the
// daemon and the backend server run in the same process.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := Start(ctx, Config{
		Services: []Service{{Name: "stock-lookup", Servers: 1, Slots: 64, Connections: 130}},
		Zones:    []string{"a"}, Configuration: testConfiguration(b),
	})
	require.NoError(b, err)
	defer func() { require.NoError(b, f.Stop()) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			request, err := http.NewRequest(http.MethodGet, "http://"+f.Nodes[0].Settings.Listen.String()+"/bolts/1", nil)
			if err != nil {
				b.Error(err)
				return
			}
			request.Header.Set("Hibiscus-Service", "stock-lookup")
			request.Header.Set("Hibiscus-Key", "bolt-1")
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
				b.Error(err, response.Status)
			}
			response.Body.Close()
		}
	})
}
