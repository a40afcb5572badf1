package sidecar_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
	"hibiscusline/registrar"
)

// largeRoutes is a number of routes whose configuration takes about 350 kB.
const largeRoutes = 1500

// publishLarge publishes a configuration with many routes and returns the prefix of the last one.
func (s *cluster) publishLarge(version int) string {
	routes := []simulator.Route{{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"}}
	prefix := ""
	for i := range largeRoutes {
		prefix = fmt.Sprintf("/v%d/r%d/", version, i)
		routes = append(routes, simulator.Route{Name: fmt.Sprint("r", i), Prefix: prefix, Kind: "idempotent", Service: "orders"})
	}
	require.NoError(s.t, s.store.Publish(version, "h", routes, map[string]bool{"stock": true, "orders": false}))
	return prefix
}

// serves reports whether a node serves a path without a key.
func (s *cluster) serves(n *node, path string) bool {
	return s.send(n, http.MethodGet, path, simulator.NoKey).Status == http.StatusOK
}

// TestSlowTransferIsNotAbandoned guards against a process with a slow link that gives up each read of a large
// configuration before it has arrived, and never gets it.
func TestSlowTransferIsNotAbandoned(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 1)
	s.store.SetRate(150_000)
	prefix := s.publishLarge(2)
	s.nodes[1].stopSidecar()
	s.nodes[0].stopSidecar()
	s.startSidecar(s.nodes[0])
	s.startSidecar(s.nodes[1])
	s.await("the process has the configuration", func() bool { return s.serves(s.nodes[1], prefix) })
}

// silentPeers are processes that accept requests and don't answer them. They count those for whole configurations.
type silentPeers struct {
	mu                      sync.Mutex
	documents, most, served int
}

func (p *silentPeers) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	document := r.URL.Query().Get("document") == "true"
	p.count(document, 1)
	<-r.Context().Done()
	p.count(document, -1)
}

func (p *silentPeers) count(document bool, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if document {
		p.documents += change
		p.served++
		p.most = max(p.most, p.documents)
	}
}

func (p *silentPeers) mostAtOnce() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

// addSilentPeers adds members that accept requests and don't answer them.
func (s *cluster) addSilentPeers(count int) *silentPeers {
	peers := &silentPeers{}
	for i := range count {
		server := httptest.NewServer(peers)
		s.t.Cleanup(server.Close)
		m := registrar.Member{
			Name: fmt.Sprint("silent-", i), Epoch: 1, Zone: "zone-a", Service: "elsewhere", Slots: 1, State: registrar.Ready,
			Peer:        netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			Incarnation: assigner.Incarnation{Instance: fmt.Sprint("s-", i), Born: 1},
		}
		data, err := m.Encode()
		require.NoError(s.t, err)
		s.store.Put(platform.RecordsTopic, registrar.MemberKey(m.Name), data)
	}
	return peers
}

// TestOneDocumentRequestAtATime guards against a process that lacks a large configuration and requests it from many others
// at once. The responses share its link with everything else, so that none arrives in time and others seem lost.
func TestOneDocumentRequestAtATime(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 2)
	peers := s.addSilentPeers(6)
	lagging := s.nodes[2]
	lagging.stopSidecar()
	lagging.settings.Store = s.address()
	s.startSidecar(lagging)
	s.await("the process learns from the others", func() bool { return s.serves(lagging, "/orders/1") })
	prefix := s.publishLarge(2)
	time.Sleep(4 * time.Second)
	require.LessOrEqual(t, peers.mostAtOnce(), 1)
	s.await("the process has the configuration", func() bool { return s.serves(lagging, prefix) })
}
