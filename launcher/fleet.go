package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/follower"
	"hibiscusline/loader"
	"hibiscusline/transporter"
	"hibiscusline/validator"
)

// Service describes the backend servers of one service.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
	// Unfenced servers don't check the epoch of a request, so they accept requests of a previous owner.
	Unfenced bool
	Settings emulator.ServerSettings
}

// Config describes a fleet.
type Config struct {
	// Directory is where settings, certificates and logs are written. If it is empty, Start creates a temporary
	// directory and Stop removes it.
	Directory     string
	Services      []Service
	Zones         []string
	Configuration validator.Configuration
	// PopulateLog, if set, writes the initial records of the stream. Configuration is then not published.
	PopulateLog func(l *emulator.Log, stream string) error
	// Command returns the command that runs hibiscusd with a settings file. If it is nil, the daemons run in this
	// process.
	Command func(settings string) *exec.Cmd
	// Logger receives the log lines of daemons that run in this process. Nil discards them.
	Logger log.Logger
	// EditSettings, if set, changes the settings of a process before its first start.
	EditSettings func(*loader.DaemonSettings)
	Seed         uint64
	// FaultProxies routes the traffic of every process through proxies that can delay, drop and hold it back.
	FaultProxies bool
}

// Fleet is a running fleet.
type Fleet struct {
	Log     *emulator.Log
	Client  *appender.Client
	Ledger  *emulator.Ledger
	Nodes   []*Node
	Started time.Time

	config             Config
	authority          *transporter.CertificateAuthority
	logAddress         netip.AddrPort
	logServer          *http.Server
	cancel             context.CancelFunc
	context            context.Context
	tasks              sync.WaitGroup
	fences             map[string]*emulator.Fence
	temporaryDirectory string
}

const (
	// Stream is the name of the stream of the log service that a fleet uses.
	Stream = "hibiscusline"
	// certificateValidity exceeds the duration of any run.
	certificateValidity = 30 * 24 * time.Hour
)

// Start starts a fleet, publishes its configuration, and waits until every process has applied it and every key has an
// owner.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	f := &Fleet{config: c, Ledger: emulator.NewLedger(0), Started: time.Now(), fences: map[string]*emulator.Fence{}}
	f.context, f.cancel = context.WithCancel(context.Background())
	if err := f.start(ctx); err != nil {
		return nil, errors.WithMessage(err, fmt.Sprintf("start fleet (stop: %v)", f.Stop()))
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.config.Directory == "" {
		directory, err := os.MkdirTemp("", "hibiscusline")
		if err != nil {
			return err
		}
		f.temporaryDirectory, f.config.Directory = directory, directory
	}
	if err := f.startLog(); err != nil {
		return err
	}
	var err error
	if f.authority, err = transporter.NewCertificateAuthority(certificateValidity); err != nil {
		return err
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	index := 0
	for _, service := range f.config.Services {
		for range service.Servers {
			if _, err := f.Add(service, f.config.Zones[index%len(f.config.Zones)]); err != nil {
				return err
			}
			index++
		}
	}
	return f.AwaitReady(ctx)
}

func (f *Fleet) startLog() error {
	f.Log = emulator.NewLog(emulator.LogConfig{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.logAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	f.logServer = &http.Server{Handler: f.Log}
	f.tasks.Go(func() {
		// Serve always returns an error: ErrServerClosed after Close. Nothing can be done here about any other.
		_ = f.logServer.Serve(listener)
	})
	f.Client = appender.New(appender.Config{Address: f.logAddress, Stream: Stream})
	return nil
}

func (f *Fleet) publish(ctx context.Context) error {
	if f.config.PopulateLog != nil {
		return f.config.PopulateLog(f.Log, Stream)
	}
	state := &follower.Follower{}
	result, err := appender.Commit(ctx, f.Client, state, appender.NewEnvelope(applier.Propose{
		Author: "launcher", Configuration: f.config.Configuration,
	}))
	if err != nil {
		return err
	}
	if !result.Accepted {
		return errors.Errorf("configuration was rejected: %s", result.Reason)
	}
	return nil
}

// Entries returns the addresses at which the running processes accept requests of callers.
func (f *Fleet) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, n := range f.Nodes {
		if n.Running() {
			entries = append(entries, n.Settings.Listen)
		}
	}
	return entries
}

// State replays the log and returns the resulting state.
func (f *Fleet) State(ctx context.Context) (*follower.Follower, error) {
	return appender.Load(ctx, f.Client)
}

// AwaitReady waits until every running process is a member, has applied the current configuration and holds a lease,
// and every range has an owner. It returns an error when a process exits unexpectedly or the context ends.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	const interval = 50 * time.Millisecond
	var lastErr error
	for {
		for _, n := range f.Nodes {
			if err := n.unexpectedExit(); err != nil {
				return err
			}
		}
		if lastErr = f.checkReady(ctx); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(lastErr, "fleet is not ready")
		case <-time.After(interval):
		}
	}
}

func (f *Fleet) checkReady(ctx context.Context) error {
	state, err := f.State(ctx)
	if err != nil {
		return err
	}
	var version applier.Offset
	state.View(func(s *applier.State) {
		version = s.Version
		for _, service := range f.config.Services {
			for _, a := range s.Assignments[service.Name] {
				if a.Owner == 0 && err == nil {
					err = errors.Errorf("range %s of service %s has no owner", a.Range, service.Name)
				}
			}
		}
	})
	if err != nil {
		return err
	}
	for _, n := range f.Nodes {
		if !n.Running() {
			continue
		}
		status, err := n.Status(ctx)
		if err != nil {
			return err
		}
		if status.Member == 0 || status.Version < version || !status.Lease.Held {
			return errors.Errorf("process %s is not ready: %+v", n.Name, status)
		}
		if status.Lease.Exempt && len(f.Nodes) > 1 {
			return errors.Errorf("process %s has no guardians yet", n.Name)
		}
	}
	return nil
}

// Stop kills all processes, stops the log service and removes the temporary directory. For a graceful stop, call
// Node.Stop on the nodes first. It returns the first error.
func (f *Fleet) Stop() error {
	var firstErr error
	for _, n := range f.Nodes {
		if err := n.Kill(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, n := range f.Nodes {
		if err := n.proxies.close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	f.cancel()
	if f.logServer != nil {
		if err := f.logServer.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	f.tasks.Wait()
	if f.Client != nil {
		f.Client.Close()
	}
	if f.temporaryDirectory != "" {
		if err := os.RemoveAll(f.temporaryDirectory); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (f *Fleet) writeSettings(s loader.DaemonSettings) (string, error) {
	// The fields are written one by one because settings files have durations as text.
	fields := map[string]any{
		"name": s.Name, "zone": s.Zone, "listen": s.Listen, "quic": s.QUIC, "local": s.Local, "admin": s.Admin,
		"peers": s.Peers,
		"log": map[string]any{
			"address": s.Log.Address, "stream": s.Log.Stream, "poll_interval": s.Log.PollInterval.String(),
		},
		"tls": s.TLS,
		"limits": map[string]any{
			"max_header_bytes": s.Limits.MaxHeaderBytes, "replay_limit": s.Limits.ReplayLimit,
			"queue_limit": s.Limits.QueueLimit, "default_timeout": s.Limits.DefaultTimeout.String(),
			"max_connections": s.Limits.MaxConnections,
		},
		"drain_timeout": s.DrainTimeout.String(),
		"baseline":      s.Baseline,
	}
	if s.Advertise.IsValid() {
		fields["advertise"] = s.Advertise
	}
	data, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.config.Directory, s.Name+".json")
	return path, os.WriteFile(path, data, 0o600)
}
