package launcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// sendConcurrently sends perWorker requests from each of several concurrent workers, all requests of a worker to the
// same entry. It returns the number of responses by HTTP status.
func sendConcurrently(t *testing.T, f *Fleet, workers, perWorker int) (statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	for i := range workers {
		group.Go(func() {
			entry := f.Nodes[i%len(f.Nodes)].Settings.Listen.String()
			for range perWorker {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry+"/sheets/1", nil)
				if err != nil {
					t.Error(err)
					return
				}
				request.Header.Set("Hibiscus-Service", "archive")
				response, err := client.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(response.Body)
				response.Body.Close()
				mu.Lock()
				statuses[response.StatusCode]++
				if statuses[response.StatusCode] == 1 && response.StatusCode != http.StatusOK {
					t.Logf("status %d: %s", response.StatusCode, body)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return statuses
}

// occupyAfterCrash crashes a server and, once it listens again, opens connections to it as a foreign client would. They
// are closed at the end of the test.
func occupyAfterCrash(t *testing.T, s *emulator.Server, count int) {
	s.Crash()
	oldListenerClosed := false
	for opened, deadline := 0, time.Now().Add(eventTimeout); opened < count; {
		require.True(t, time.Now().Before(deadline), "%d of %d connections are open", opened, count)
		c, err := net.Dial("tcp", s.Address().String())
		if err != nil {
			oldListenerClosed = true
			continue
		}
		if !oldListenerClosed {
			// The listener from before the crash is still open.
			c.Close()
			continue
		}
		t.Cleanup(func() { c.Close() })
		opened++
	}
}

// TestConnectionLimit guards against more connections to a backend server than its announced limit, including that of
// the health probe, and against requests that fail at a server whose connections are taken by other clients while other
// servers have free ones.
func TestConnectionLimit(t *testing.T) {
	const slots, connections = 12, 12
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, Config{
		Services: []Service{{
			Name: "archive", Servers: 3, Slots: slots, Connections: connections,
			Settings: emulator.ServerSettings{ServiceTime: validator.Duration(10 * time.Millisecond)},
		}},
		Zones: []string{"a", "b", "c"}, Configuration: testFleetConfiguration(),
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Stop()) }()

	refused := func(n *Node) uint64 { return n.Server.Counts().ConnectionsRefused }
	require.Equal(t, map[int]int{http.StatusOK: 1200}, sendConcurrently(t, f, 30, 40))
	for _, n := range f.Nodes {
		require.Zero(t, refused(n), n.Name)
	}

	// The connection pools of the processes are full now. After the second server restarts, other clients connect
	// first.
	full := f.Nodes[1].Server
	occupyAfterCrash(t, full, connections-4)
	before := full.Counts()
	// The process beside the server has to rejoin, and its share of the requests grows slowly.
	for deadline := time.Now().Add(eventTimeout); full.Counts().Requests < before.Requests+100; {
		require.True(t, time.Now().Before(deadline), "the server's free connections are not used: %+v", full.Counts())
		require.Equal(t, map[int]int{http.StatusOK: 1000}, sendConcurrently(t, f, 20, 50))
	}
	after := full.Counts()
	t.Logf("requests %d, connections refused %d", after.Requests-before.Requests, after.ConnectionsRefused-before.ConnectionsRefused)
}
