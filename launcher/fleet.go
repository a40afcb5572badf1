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
	// Unfenced servers don't check the epoch of a request.
	Unfenced bool
	Settings emulator.ServerSettings
}

// Config describes a fleet.
type Config struct {
	// Directory takes settings, certificates and logs. Empty means a temporary one.
	Directory     string
	Services      []Service
	Zones         []string
	Configuration validator.Configuration
	// PopulateLog fills the log's stream instead of the publication of the configuration.
	PopulateLog func(l *emulator.Log, stream string) error
	// Command returns the command that runs hibiscusd with a settings file. Nil runs the daemons in this process.
	Command func(settings string) *exec.Cmd
	// Logger takes the log lines of daemons in this process. Nil drops them.
	Logger log.Logger
	// EditSettings changes the settings of a process before its start.
	EditSettings func(*loader.DaemonSettings)
	Seed         uint64
	// FaultProxies puts proxies around every process, so that its traffic can be cut and slowed.
	FaultProxies bool
}

// Fleet is a running fleet.
type Fleet struct {
	Log     *emulator.Log
	Client  *appender.Client
	Ledger  *emulator.Ledger
	Nodes   []*Node
	Started time.Time

	config    Config
	authority *transporter.CertificateAuthority
	address   netip.AddrPort
	logServer *http.Server
	cancel    context.CancelFunc
	context   context.Context
	tasks     sync.WaitGroup
	fences    map[string]*emulator.Fence
	temporary string
}

const (
	// Stream is the name of the stream of the log service that a fleet uses.
	Stream = "hibiscusline"
	// certificateValidity is long enough for any run.
	certificateValidity = 30 * 24 * time.Hour
)

// Start starts a fleet, publishes its configuration and waits until every process has it in force and every key an owner.
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
		f.temporary, f.config.Directory = directory, directory
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
	number := 0
	for _, service := range f.config.Services {
		for range service.Servers {
			if _, err := f.Add(service, f.config.Zones[number%len(f.config.Zones)]); err != nil {
				return err
			}
			number++
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
	f.address = listener.Addr().(*net.TCPAddr).AddrPort()
	f.logServer = &http.Server{Handler: f.Log}
	f.tasks.Go(func() {
		// Serve always returns an error; the one after Close is expected and no other can be handled here.
		_ = f.logServer.Serve(listener)
	})
	f.Client = appender.New(appender.Config{Address: f.address, Stream: Stream})
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

// Entries returns the addresses for callers of the processes that run.
func (f *Fleet) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, n := range f.Nodes {
		if n.Running() {
			entries = append(entries, n.Settings.Listen)
		}
	}
	return entries
}

// State reads the whole state from the log.
func (f *Fleet) State(ctx context.Context) (*follower.Follower, error) {
	return appender.Load(ctx, f.Client)
}

// AwaitReady waits until every running process is a member, has the configuration in force and holds a lease, and every
// range has an owner.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	const interval = 50 * time.Millisecond
	var last error
	for {
		for _, n := range f.Nodes {
			if err := n.failed(); err != nil {
				return err
			}
		}
		if last = f.ready(ctx); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(last, "fleet is not ready")
		case <-time.After(interval):
		}
	}
}

func (f *Fleet) ready(ctx context.Context) error {
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

// Stop stops all processes at once and removes temporary files. Use Node.Stop before for a graceful stop.
func (f *Fleet) Stop() error {
	var first error
	for _, n := range f.Nodes {
		if err := n.Kill(); err != nil && first == nil {
			first = err
		}
	}
	for _, n := range f.Nodes {
		if err := n.network.close(); err != nil && first == nil {
			first = err
		}
	}
	f.cancel()
	if f.logServer != nil {
		if err := f.logServer.Close(); err != nil && first == nil {
			first = err
		}
	}
	f.tasks.Wait()
	if f.Client != nil {
		f.Client.Close()
	}
	if f.temporary != "" {
		if err := os.RemoveAll(f.temporary); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (f *Fleet) writeSettings(s loader.DaemonSettings) (string, error) {
	// Durations are written as text in settings files.
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
