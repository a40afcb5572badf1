package daemon_test

import (
	"context"
	"math/bits"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/disruptor"
	"hibiscusline/emulator"
	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/validator"
)

const (
	desk = "desk"
	// inForceTime and servedAgainTime are targets of docs/design.md.
	inForceTime     = 4 * time.Second
	servedAgainTime = 2 * time.Second
)

// silentLogFleet is a fleet whose processes reach the log through one proxy.
type silentLogFleet struct {
	*launcher.Fleet
	proxy *disruptor.Proxy
}

// configurationOf returns a configuration that differs from those of other versions.
func configurationOf(version applier.Offset) validator.Configuration {
	second := validator.Duration(time.Second)
	return validator.Configuration{
		Services: map[string]validator.Service{desk: {
			Keyed: true, InitialRanges: 24, MaxRequestTime: second + validator.Duration(version)*validator.Duration(time.Millisecond),
			IdempotencyWindow: 30 * second,
		}},
		Ranks:  map[string]validator.Rank{"order": {Urgency: 0, Floor: 0.3, LatencyTarget: second / 4}},
		Rules:  []validator.Rule{{Name: desk, Service: desk, Rank: "order"}},
		Policy: validator.Policy{Operators: []string{"liis"}},
	}
}

func startSilentLogFleet(t *testing.T) *silentLogFleet {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var proxy *disruptor.Proxy
	f, err := launcher.Start(ctx, launcher.Config{
		Zones: []string{"a", "b"}, Configuration: configurationOf(0),
		Services: []launcher.Service{{
			Name: desk, Servers: 6, Slots: 12, Connections: 110,
			Settings: emulator.ServerSettings{ServiceTime: validator.Duration(time.Millisecond)},
		}},
		EditSettings: func(s *loader.DaemonSettings) {
			if proxy == nil {
				var err error
				proxy, err = disruptor.New(disruptor.Config{
					Protocol: disruptor.TCP, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Upstream: s.Log.Address,
				})
				require.NoError(t, err)
			}
			s.Log.Address = proxy.Addr()
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, f.Stop())
		require.NoError(t, proxy.Close())
	})
	return &silentLogFleet{f, proxy}
}

// TestConfigurationDespiteSilentLog guards against a configuration that isn't in force in time because the kept connections
// of all processes to the log have gone silent without a reset (issue 33).
func TestConfigurationDespiteSilentLog(t *testing.T) {
	f := startSilentLogFleet(t)
	f.proxy.Silence()
	awaitConfiguration(t, f.Fleet)
}

// awaitConfiguration publishes a configuration and requires that it is in force in time everywhere.
func awaitConfiguration(t *testing.T, f *launcher.Fleet) {
	state, err := f.State(t.Context())
	require.NoError(t, err)
	var version applier.Offset
	state.View(func(s *applier.State) { version = s.Version })
	result, err := appender.Commit(t.Context(), f.Client, state, appender.NewEnvelope(applier.Propose{
		Author: "liis", Base: version, Configuration: configurationOf(version + 1),
	}))
	require.NoError(t, err)
	require.True(t, result.Accepted, result.Reason)
	start := time.Now()
	for _, n := range f.Nodes {
		for {
			status, err := n.Status(t.Context())
			require.NoError(t, err)
			if status.Version >= result.Offset {
				break
			}
			require.Less(t, time.Since(start), inForceTime, n.Name)
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("in force after %s", time.Since(start))
}

// TestConfigurationDespiteReadersWithoutLog guards against a configuration that is never in force because the processes that
// read the log for the others get no answers. The others receive messages from them and don't read the log.
func TestConfigurationDespiteReadersWithoutLog(t *testing.T) {
	const cut = 3
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := launcher.Start(ctx, launcher.Config{
		Zones: []string{"a"}, Configuration: configurationOf(0), FaultProxies: true,
		Services: []launcher.Service{{Name: desk, Servers: 5, Slots: 12, Connections: 110}},
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Stop()) }()
	for set := range 1 << len(f.Nodes) {
		if bits.OnesCount(uint(set)) != cut {
			continue
		}
		for i, n := range f.Nodes {
			n.BlackholeLog(set>>i&1 == 1)
		}
		awaitConfiguration(t, f)
	}
}

// TestTakeOverDespiteSilentLog guards against keys of a lost owner that aren't served again in time because the kept
// connections of all processes to the log have gone silent without a reset (issue 33).
func TestTakeOverDespiteSilentLog(t *testing.T) {
	f := startSilentLogFleet(t)
	const key = "order-1"
	_, owner := send(t, f.Nodes[0], key)
	i := slices.IndexFunc(f.Nodes, func(n *launcher.Node) bool { return n.Name == owner })
	require.GreaterOrEqual(t, i, 0, owner)
	lost, entry := f.Nodes[i], f.Nodes[(i+1)%len(f.Nodes)]
	f.proxy.Silence()
	start := time.Now()
	require.NoError(t, lost.Kill())
	for outcome := ""; outcome != "answered"; {
		require.Less(t, time.Since(start), 20*time.Second)
		outcome, _ = send(t, entry, key)
	}
	took := time.Since(start)
	t.Logf("served again after %s", took)
	require.Less(t, took, servedAgainTime)
}

// send sends a request to a process and returns its outcome and the server that answered.
func send(t *testing.T, entry *launcher.Node, key string) (outcome, server string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.Settings.Listen.String()+"/items", nil)
	require.NoError(t, err)
	request.Header.Set("Hibiscus-Service", desk)
	request.Header.Set("Hibiscus-Key", key)
	request.Header.Set("Hibiscus-Timeout-Ms", "300")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.Header.Get("Hibiscus-Outcome"), response.Header.Get(emulator.HeaderServer)
}
