package launcher

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"hibiscusline/daemon"
	"hibiscusline/emulator"
	"hibiscusline/loader"
	"hibiscusline/validator"
)

// daemonSettingsEnv is the environment variable that makes the test binary run as hibiscusd with the settings file at
// its value.
const daemonSettingsEnv = "HIBISCUSLINE_TEST_DAEMON"

func TestMain(m *testing.M) {
	if path := os.Getenv(daemonSettingsEnv); path != "" {
		runDaemon(path)
		return
	}
	os.Exit(m.Run())
}

func testConfiguration(t testing.TB) validator.Configuration {
	data, err := os.ReadFile("../settings/vatilaane.json")
	require.NoError(t, err)
	c, err := validator.Parse(data)
	require.NoError(t, err)
	return c
}

// TestRequestReachesOwner guards against requests that don't reach the owner of their key from every entry, or that get
// no response.
func TestRequestReachesOwner(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	directory := t.TempDir()
	defer showLogs(t, directory)
	f, err := Start(ctx, Config{
		Directory: directory,
		Services:  []Service{{Name: "stock-lookup", Servers: 3, Slots: 12, Connections: 130, Settings: emulator.ServerSettings{ServiceTime: validator.Duration(time.Millisecond)}}},
		Zones:     []string{"a", "b", "c"}, Configuration: testConfiguration(t),
		Command: testDaemon,
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Stop()) }()
	require.Len(t, f.Entries(), 3)
	servers := map[string]bool{}
	for i := range 30 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Entries()[i%3].String()+"/bolts/1", nil)
		require.NoError(t, err)
		request.Header.Set("Hibiscus-Service", "stock-lookup")
		request.Header.Set("Hibiscus-Key", "bolt-1")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "answered", response.Header.Get("Hibiscus-Outcome"), string(body))
		servers[response.Header.Get("X-Emulator-Server")] = true
	}
	require.Len(t, servers, 1)
	report := f.Ledger.Report()
	require.Len(t, report.Executions, 30)
}

// testDaemon returns a command that runs the test binary as hibiscusd.
func testDaemon(settings string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), daemonSettingsEnv+"="+settings)
	return c
}

// showLogs prints the log lines of the processes when a test has failed.
func showLogs(t *testing.T, directory string) {
	if !t.Failed() {
		return
	}
	paths, err := filepath.Glob(filepath.Join(directory, "*.log"))
	require.NoError(t, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		t.Logf("%s:\n%s", filepath.Base(path), data)
	}
}

func runDaemon(path string) {
	settings, err := loader.LoadDaemon(path)
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	if err := daemon.New(daemon.Config{Settings: settings, Logger: logger}).Run(ctx); err != nil {
		panic(err)
	}
}
