package sidecar

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/carrier"
	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/registrar"
	"hibiscusline/timer"
	"hibiscusline/waiter"
)

// newIdleSidecar returns a sidecar that isn't started.
func newIdleSidecar() *Sidecar {
	settings := loader.DefaultSidecarSettings()
	settings.Name, settings.Store = "x", netip.MustParseAddrPort("127.0.0.1:9")
	return New(Config{Settings: settings, Output: io.Discard})
}

// encodedConfiguration returns the document of a configuration with a number of routes.
func encodedConfiguration(t *testing.T, version, routes int) []byte {
	resources := []any{map[string]any{"type": "services", "metadata": map[string]any{"name": "orders"}, "spec": map[string]any{
		"health_path": "/health", "max_conns": 100, "sharded": false, "warm": "1s",
	}}}
	for i := range routes {
		resources = append(resources, map[string]any{
			"type": "routes", "metadata": map[string]any{"name": fmt.Sprint("r", i)},
			"spec": map[string]any{
				"host": "h", "path_prefix": fmt.Sprintf("/%x/r%d/", i*2654435761%99991, i), "kind": "idempotent", "timeout": "2s",
				"target_latency": "500ms", "priority": 1, "attempts": 2, "service": "orders",
			},
		})
	}
	document, err := cbor.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	require.NoError(t, err)
	return document
}

// TestAgeCountsToHeld guards against a response that takes long to make, so that what the sender knows, and a lease that rests
// on it, seem younger than they are.
func TestAgeCountsToHeld(t *testing.T) {
	a := newIdleSidecar()
	a.applyConfiguration(encodedConfiguration(t, 1, 1500), registrar.Position{}, "test")
	a.applyConfiguration(encodedConfiguration(t, 2, 1500), registrar.Position{}, "test")
	confirmed := timer.Now()
	a.configurationAge.Confirm(confirmed)
	a.caughtUpAt = confirmed
	received := timer.Now()
	r := a.serveSync(t.Context(), &carrier.Request{
		Method: http.MethodGet, Received: received, Header: http.Header{},
		Target: "/sync?from=0&version=1&peer=127.0.0.1:1&wait_ms=0&document=true&patches=true",
	})
	require.Equal(t, http.StatusOK, r.Status)
	var n syncResponse
	require.NoError(t, cbor.Unmarshal(r.Body, &n))
	age, err := strconv.Atoi(r.Header.Get(ageField))
	require.NoError(t, err)
	require.LessOrEqual(t, received+time.Duration(n.Held-int64(age))*time.Microsecond, confirmed+2*time.Microsecond)
	require.LessOrEqual(t, received+time.Duration(n.Held-n.Age)*time.Microsecond, confirmed+2*time.Microsecond)
}

// TestUnconfirmedAge guards against a process that tells others that the store has confirmed a configuration, though it has
// only heard of it from another process.
func TestUnconfirmedAge(t *testing.T) {
	a := newIdleSidecar()
	a.applyConfiguration(encodedConfiguration(t, 1, 1), registrar.Position{}, "test")
	_, header := a.updatesSince(registrar.Position{}, timer.Now(), documentQuery{version: 1})
	require.Empty(t, header.Get(ageField))
}

// TestOddAge guards against an age that can't be read and counts as zero.
func TestOddAge(t *testing.T) {
	a := newIdleSidecar()
	for _, age := range []string{"", "unknown", "-1", "99999999999999999999"} {
		a.adoptConfigurationAge(timer.Now(), syncResponse{}, http.Header{ageField: {age}})
		_, confirmed := a.configurationAge.Confirmed(timer.Now())
		require.False(t, confirmed, age)
	}
	a.adoptConfigurationAge(timer.Now(), syncResponse{}, http.Header{ageField: {"5"}})
	_, confirmed := a.configurationAge.Confirmed(timer.Now())
	require.True(t, confirmed)
}

// encodeStoreBatch encodes the answer to a read that returns the only record from an offset on.
func encodeStoreBatch(from uint64, key string, value []byte) []byte {
	data := binary.BigEndian.AppendUint64(nil, from+1)
	data = binary.BigEndian.AppendUint64(data, 0)
	data = binary.BigEndian.AppendUint32(data, uint32(1+len(key)+len(value)))
	return append(append(append(data, byte(len(key))), key...), value...)
}

// TestUnreadableConfigurationIsNotConfirmed guards against a process that can't read the newest configuration, as an earlier
// release may, and tells those that rely on it that the one before is the newest.
func TestUnreadableConfigurationIsNotConfirmed(t *testing.T) {
	documents := [][]byte{[]byte("unreadable"), encodedConfiguration(t, 3, 1)}
	a := newSidecarOf(t, func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.Atoi(r.URL.Query().Get("from_key"))
		if err == nil {
			_, _ = w.Write(encodeStoreBatch(uint64(from), platform.ConfigurationKey, documents[from-1]))
		}
	})
	a.applyConfiguration(encodedConfiguration(t, 1, 1), registrar.Position{}, "test")
	r := configurationRead{loaded: true, next: 1}
	for _, confirms := range []bool{false, true} {
		_, err := a.readConfiguration(t.Context(), &r, waiter.Hold{})
		require.NoError(t, err)
		_, header := a.updatesSince(registrar.Position{}, timer.Now(), documentQuery{version: 1})
		require.Equal(t, confirms, header.Get(ageField) != "")
	}
	require.EqualValues(t, 3, a.version())
}
