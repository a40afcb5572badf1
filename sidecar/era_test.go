package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
)

// TestKeysServedAfterStoreGoesBack guards against keys that nobody serves, or two servers do, after the store has come back without
// the records of a move, once and twice in a row.
func TestKeysServedAfterStoreGoesBack(t *testing.T) {
	forEachGrantForm(t, testKeysServedAfterStoreGoesBack)
}

func testKeysServedAfterStoreGoesBack(t *testing.T, form loader.GrantForm) {
	for times := 1; times <= 2; times++ {
		t.Run(fmt.Sprintf("%d times", times), func(t *testing.T) {
			t.Parallel()
			s := newClusterWith(t, form, 0, 3, 1)
			s.await("all keys are served", func() bool { return s.allKeysServed(3) })
			time.Sleep(time.Second)
			s.nodes[0].stopServer()
			s.await("the keys have moved", func() bool { return s.allKeysServed(3) })
			s.startServer(s.nodes[0])
			for range times {
				s.store.GoBack(1500*time.Millisecond, platform.ConfigurationTopic)
				time.Sleep(300 * time.Millisecond)
			}
			s.await("all keys are served again", func() bool { return s.allKeysServed(3) })
			require.True(t, strings.Contains(s.logs.String(), "event=store_era"))
		})
	}
}

// TestKeysServedAfterRestartOfAll guards against keys that stay without owner, and tokens that are given out again, when all
// processes start again as the store comes back.
func TestKeysServedAfterRestartOfAll(t *testing.T) {
	forEachGrantForm(t, testKeysServedAfterRestartOfAll)
}

func testKeysServedAfterRestartOfAll(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 1)
	s.await("all keys are served", func() bool { return s.allKeysServed(2) })
	for _, n := range s.nodes {
		n.stopSidecar()
	}
	s.store.GoBack(time.Second, platform.ConfigurationTopic)
	for _, n := range s.nodes {
		s.startSidecar(n)
	}
	s.await("all keys are served again", func() bool { return s.allKeysServed(2) })
}

// TestConfigurationNotOlder guards against a configuration in force that goes back with the store.
func TestConfigurationNotOlder(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 2)
	s.await("all keys are served", func() bool { return s.allKeysServed(0) })
	time.Sleep(time.Second)
	s.publish(7, "/new/")
	s.await("the new route is served", func() bool { return s.servedEverywhere("/new/x") })
	s.store.GoBack(2 * time.Second)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range s.nodes {
			require.Equal(t, http.StatusOK, s.send(n, http.MethodPost, "/new/x", simulator.NoKey).Status)
		}
	}
}

// TestOwnersServeOn guards against leases that run out, and keys that wait for the end of settling, at owners that the store's
// copy confirms.
func TestOwnersServeOn(t *testing.T) { forEachGrantForm(t, testOwnersServeOn) }

func testOwnersServeOn(t *testing.T, form loader.GrantForm) {
	t.Parallel()
	s := newClusterWith(t, form, 0, 2, 1)
	s.await("all keys are served", func() bool { return s.allKeysServed(2) })
	time.Sleep(3 * time.Second)
	s.store.GoBack(time.Second, platform.ConfigurationTopic)
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.True(t, s.allKeysServed(2))
	}
	require.True(t, strings.Contains(s.logs.String(), "why=settle"))
}
