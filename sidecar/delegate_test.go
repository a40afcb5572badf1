package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform/simulator"
)

// delegatingNodes returns the names of the nodes that leave store reads to others, according to their latest log lines.
func (s *cluster) delegatingNodes() map[string]bool {
	names := map[string]bool{}
	for line := range strings.Lines(s.logs.String()) {
		if !strings.Contains(line, "event=store_reads_delegated") {
			continue
		}
		_, name, _ := strings.Cut(line, "process=")
		name, _, _ = strings.Cut(name, " ")
		names[name] = strings.Contains(line, "delegated=true")
	}
	for name, delegated := range names {
		if !delegated {
			delete(names, name)
		}
	}
	return names
}

// TestDelegatedReads guards against sidecars that miss updates because others read the store for them, also when all of
// those readers stop at once.
func TestDelegatedReads(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 2, 7)
	s.await("all but four sidecars leave the reads to others", func() bool { return len(s.delegatingNodes()) == 5 })
	s.publish(2, "/extra/")
	for i := range s.nodes {
		s.await("every sidecar has the new route", func() bool {
			return s.send(s.nodes[i], http.MethodGet, "/extra/1", simulator.NoKey).Status == http.StatusOK
		})
		s.await("every sidecar serves all keys", func() bool { return s.allKeysServed(i) })
	}
	delegating := s.delegatingNodes()
	for _, n := range s.nodes {
		if !delegating[n.settings.Name] {
			n.stopSidecar()
		}
	}
	s.publish(3, "/later/")
	for _, n := range s.nodes {
		if delegating[n.settings.Name] {
			s.await("the remaining sidecars have the new route", func() bool {
				return s.send(n, http.MethodGet, "/later/1", simulator.NoKey).Status == http.StatusOK
			})
		}
	}
	require.Len(t, delegating, 5)
}

// TestLargeConfiguration guards against sidecars that send a large configuration to many others over slow links, and
// against a sidecar that the store refuses and that never gets the configuration.
func TestLargeConfiguration(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 6)
	s.await("three sidecars leave the reads to others", func() bool { return len(s.delegatingNodes()) == 3 })
	refused := s.nodes[3]
	refused.stopSidecar()
	refused.settings.Store = s.address()
	s.startSidecar(refused)
	routes := []simulator.Route{{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"}}
	for i := range 1500 {
		routes = append(routes, simulator.Route{Name: fmt.Sprint("r", i), Prefix: fmt.Sprintf("/r%d/", i), Kind: "idempotent", Service: "orders"})
	}
	require.NoError(t, s.store.Publish(2, "h", routes, map[string]bool{"stock": true, "orders": false}))
	for _, n := range s.nodes {
		s.await("every sidecar has the new routes", func() bool {
			return s.send(n, http.MethodGet, "/r1499/1", simulator.NoKey).Status == http.StatusOK
		})
	}
	fromStore := 0
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, "event=configuration version=2") && strings.Contains(line, "source=store") {
			fromStore++
		}
	}
	require.Equal(t, len(s.nodes)-1, fromStore)
}
