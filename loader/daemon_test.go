package loader_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/loader"
)

// TestDaemonExample guards against an example file that is invalid or that states other defaults than the program's.
func TestDaemonExample(t *testing.T) {
	s, err := loader.LoadDaemon(filepath.Join("..", "settings", "hibiscusd.example.json"))
	require.NoError(t, err)
	defaults := loader.DefaultDaemonSettings()
	require.Equal(t, defaults.Limits, s.Limits)
	require.Equal(t, defaults.DrainTimeout, s.DrainTimeout)
	require.Equal(t, defaults.Local, s.Local)
	require.Equal(t, defaults.Log.Stream, s.Log.Stream)
	require.Equal(t, defaults.Log.PollInterval, s.Log.PollInterval)
	require.Equal(t, netip.MustParseAddrPort("10.0.3.11:7200"), s.Peers[1])
}

// TestDaemonNamesEveryField guards against a check that misses an invalid field or stops at the first one.
func TestDaemonNamesEveryField(t *testing.T) {
	messages := ""
	for _, document := range []string{"{}", `{
		"name": "Stock A", "zone": "", "listen": "0.0.0.0:0", "quic": "0.0.0.0:7200", "local": "10.0.0.1:7400",
		"admin": "10.0.0.1:7400",
		"log": {"address": "[::]:7500", "stream": "a/b", "poll_interval": "1ms"},
		"peers": ["10.0.0.1:7200", "0.0.0.0:0", 7],
		"limits": {"max_header_bytes": 0, "replay_limit": -1, "queue_limit": 0, "default_timeout": "0s", "max_connections": 0},
		"drain_timeout": "-1s",
	}`} {
		path := filepath.Join(t.TempDir(), "settings.json")
		require.NoError(t, os.WriteFile(path, []byte(document), 0o600))
		_, err := loader.LoadDaemon(path)
		var problems loader.Problems
		require.ErrorAs(t, err, &problems)
		messages += problems.Error() + "\n\n"
	}
	goldie.New(t).Assert(t, "daemon", []byte(messages))
	_, err := loader.LoadDaemon(filepath.Join(t.TempDir(), "absent.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
