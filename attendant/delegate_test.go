package attendant_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscusline/platform/imitator"
)

// delegating returns the nodes whose processes leave the reads of the store to others, by the newest line of each.
func (s *site) delegating() map[string]bool {
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

// TestDelegatedReads guards against processes that learn nothing new because others read the store for them, also when all
// of those end at once.
func TestDelegatedReads(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 7)
	s.await("all but four processes leave the reads to others", func() bool { return len(s.delegating()) == 5 })
	s.publish(2, "/extra/")
	for i := range s.nodes {
		s.await("every process knows the new route", func() bool {
			return s.send(s.nodes[i], http.MethodGet, "/extra/1", imitator.NoKey).Status == http.StatusOK
		})
		s.await("every process serves all keys", func() bool { return s.served(i) })
	}
	left := s.delegating()
	for _, n := range s.nodes {
		if !left[n.settings.Name] {
			n.endProcess()
		}
	}
	s.publish(3, "/later/")
	for _, n := range s.nodes {
		if left[n.settings.Name] {
			s.await("the processes that are left know the new route", func() bool {
				return s.send(n, http.MethodGet, "/later/1", imitator.NoKey).Status == http.StatusOK
			})
		}
	}
	require.Len(t, left, 5)
}

// TestLargeConfiguration guards against processes that send a large configuration to many others over slow links, and against
// one that the store turns away and that never gets it.
func TestLargeConfiguration(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 6)
	s.await("some processes leave the reads to others", func() bool { return len(s.delegating()) == 3 })
	refused := s.nodes[3]
	refused.endProcess()
	refused.settings.Store = s.address()
	s.startProcess(refused)
	routes := []imitator.Route{{Name: "stock", Prefix: "/stock/", Kind: "idempotent", Service: "stock"}}
	for i := range 1500 {
		routes = append(routes, imitator.Route{Name: fmt.Sprint("r", i), Prefix: fmt.Sprintf("/r%d/", i), Kind: "idempotent", Service: "orders"})
	}
	require.NoError(t, s.store.Publish(2, "h", routes, map[string]bool{"stock": true, "orders": false}))
	for _, n := range s.nodes {
		s.await("every process knows the new routes", func() bool {
			return s.send(n, http.MethodGet, "/r1499/1", imitator.NoKey).Status == http.StatusOK
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
