package daemon

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/leaser"
	"hibiscusline/loader"
)

// TestTakeOverIsAppendedAfterOutage guards against a take-over that waits for the back-off of the lease state machine,
// up to 16 s, after a log outage. The keys of the lost owner would not be served within two seconds of the log's
// recovery.
func TestTakeOverIsAppendedAfterOutage(t *testing.T) {
	service := emulator.NewLog(emulator.LogConfig{Settings: emulator.LogSettings{Outage: emulator.Refuse}})
	server := httptest.NewServer(service)
	defer server.Close()
	settings := loader.DefaultDaemonSettings()
	settings.Log.Stream = "test"
	var err error
	settings.Log.Address, err = netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	d := New(Config{Settings: settings, Logger: log.NewNopLogger()})
	defer d.tasks.Wait()
	defer close(d.stopped)
	d.perform(nil, []leaser.Action{leaser.Append{Record: applier.TakeOver{Member: 1, Version: 1}}})
	require.Eventually(t, func() bool { return service.Counts().Refused > 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, service.Change(func(s *emulator.LogSettings) { s.Outage = emulator.NoOutage }))
	require.Eventually(t, func() bool { return len(service.Read("test", 1, 10).Records) == 1 }, 2*time.Second, time.Millisecond)
}
