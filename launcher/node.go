package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"hibiscusline/daemon"
	"hibiscusline/emulator"
	"hibiscusline/loader"
	"hibiscusline/reporter"
)

// Node is a backend server together with the hibiscusd process beside it.
type Node struct {
	Name     string
	Service  string
	Settings loader.DaemonSettings
	Server   *emulator.Server

	fleet      *Fleet
	proxies    *faultProxies
	stopServer context.CancelFunc
	serverDone chan struct{}

	mu      sync.Mutex
	process *process
}

// process is one run of hibiscusd, as a process of its own (command) or in this process (cancel).
type process struct {
	command *exec.Cmd
	cancel  context.CancelCauseFunc
	done    chan struct{}
	err     error
	frozen  bool
	// endExpected is set before the process is stopped or killed on purpose.
	endExpected bool
}

// Add starts another backend server with its hibiscusd. It doesn't wait until they are ready; AwaitReady does.
func (f *Fleet) Add(service Service, zone string) (*Node, error) {
	name := fmt.Sprintf("%s-%d", service.Name, len(f.Nodes))
	files, err := f.authority.Issue(f.config.Directory, name, certificateValidity)
	if err != nil {
		return nil, err
	}
	s := loader.DefaultDaemonSettings()
	s.Name, s.Zone = name, zone
	s.TLS = loader.TLSSettings{CA: files.Authority, Certificate: files.Certificate, Key: files.Key}
	s.Log.Address, s.Log.Stream = f.logAddress, Stream
	for _, address := range []*netip.AddrPort{&s.Listen, &s.QUIC, &s.Local, &s.Admin} {
		if *address, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	s.Peers = []netip.AddrPort{}
	for _, other := range f.Nodes[:min(len(f.Nodes), 3)] {
		s.Peers = append(s.Peers, other.advertisedAddress())
	}
	if f.config.EditSettings != nil {
		f.config.EditSettings(&s)
	}
	n := &Node{Name: name, Service: service.Name, Settings: s, fleet: f}
	if n.proxies, err = f.startProxies(&n.Settings); err != nil {
		return nil, err
	}
	if err := n.startServer(service); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	return n, n.Start()
}

func (n *Node) startServer(service Service) error {
	f := n.fleet
	fence := f.fences[service.Name]
	if fence == nil {
		fence = &emulator.Fence{}
		f.fences[service.Name] = fence
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.Server = emulator.NewServer(emulator.ServerConfig{
		Service: service.Name, Name: n.Name, Slots: service.Slots, MaxConnections: service.Connections,
		Fenced: !service.Unfenced, Fence: fence, Ledger: f.Ledger, Router: n.announceAddress(),
		Seed: f.config.Seed + uint64(len(f.Nodes)), Settings: service.Settings,
	})
	ctx, cancel := context.WithCancel(f.context)
	n.stopServer, n.serverDone = cancel, make(chan struct{})
	f.tasks.Go(func() {
		defer close(n.serverDone)
		// If the server fails, its process never becomes ready, and AwaitReady reports that.
		_ = n.Server.Run(ctx, listener)
	})
	return nil
}

// StopServer stops the backend server and waits for its end. It can't be started again.
func (n *Node) StopServer() {
	n.stopServer()
	<-n.serverDone
}

// Start starts hibiscusd, or restarts it after it has ended.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet.config.Command == nil {
		n.process = n.startInProcess()
		return nil
	}
	path, err := n.fleet.writeSettings(n.Settings)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.fleet.config.Directory, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := n.fleet.config.Command(path)
	command.Stdout, command.Stderr = output, output
	if err := Spawn(command); err != nil {
		return errors.Wrap(err, "start hibiscusd")
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = command.Wait()
		if err := output.Close(); err != nil && p.err == nil {
			p.err = err
		}
	}()
	n.process = p
	return nil
}

func (n *Node) startInProcess() *process {
	logger := n.fleet.config.Logger
	if logger == nil {
		logger = log.NewNopLogger()
	}
	ctx, cancel := context.WithCancelCause(n.fleet.context)
	p := &process{cancel: cancel, done: make(chan struct{})}
	d := daemon.New(daemon.Config{Settings: n.Settings, Logger: logger})
	go func() {
		defer close(p.done)
		p.err = d.Run(ctx)
	}()
	return p
}

func (n *Node) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *Node) expectEnd(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.endExpected = true
}

// unexpectedExit returns an error if hibiscusd has exited without Stop or Kill.
func (n *Node) unexpectedExit() error {
	p := n.currentProcess()
	select {
	case <-p.done:
	default:
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.endExpected {
		return nil
	}
	return errors.Errorf("process %s exited unexpectedly: %v", n.Name, p.err)
}

// Running reports whether hibiscusd runs and is not frozen.
func (n *Node) Running() bool {
	n.mu.Lock()
	p := n.process
	frozen := p != nil && p.frozen
	n.mu.Unlock()
	if p == nil || frozen {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop stops hibiscusd gracefully and waits until it has exited or the context ends. An error of a separate process has
// the last lines of its log.
func (n *Node) Stop(ctx context.Context) error {
	p := n.currentProcess()
	n.expectEnd(p)
	if p.cancel != nil {
		p.cancel(nil)
	} else if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "stop hibiscusd")
	}
	select {
	case <-p.done:
		return errors.WithMessage(p.err, n.lastLogLines())
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "process %s did not stop", n.Name)
	}
}

// lastLogLines returns the last 600 bytes of the log of a hibiscusd that runs as a separate process, for error
// messages.
func (n *Node) lastLogLines() string {
	const size = 600
	data, err := os.ReadFile(filepath.Join(n.fleet.config.Directory, n.Name+".log"))
	if err != nil {
		return n.Name + " has no log"
	}
	return n.Name + ": " + string(data[max(0, len(data)-size):])
}

// Kill ends hibiscusd at once and waits until it has exited. A daemon in this process still closes its connections, so
// its peers notice its end sooner than that of a killed process.
func (n *Node) Kill() error {
	p := n.currentProcess()
	if p == nil {
		return nil
	}
	n.expectEnd(p)
	if p.cancel != nil {
		p.cancel(daemon.ErrKilled)
		<-p.done
		return nil
	}
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrap(err, "kill hibiscusd")
	}
	<-p.done
	return nil
}

// Freeze suspends hibiscusd with SIGSTOP until Thaw. It works only for a separate process.
func (n *Node) Freeze() error { return n.signal(syscall.SIGSTOP, true) }

// Thaw resumes a frozen hibiscusd with SIGCONT.
func (n *Node) Thaw() error { return n.signal(syscall.SIGCONT, false) }

func (n *Node) signal(s syscall.Signal, frozen bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process.command == nil {
		return errors.New("can't freeze or thaw a hibiscusd that runs in this process")
	}
	n.process.frozen = frozen
	err := n.process.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		<-n.process.done
		return errors.Errorf("send signal %s to process %s: it has exited: %v", s, n.Name, n.process.err)
	}
	return errors.Wrap(err, "signal hibiscusd")
}

// PID returns the process ID of hibiscusd, or 0 if it runs in this process.
func (n *Node) PID() int {
	if p := n.currentProcess(); p != nil && p.command != nil {
		return p.command.Process.Pid
	}
	return 0
}

// Status fetches the status of hibiscusd from its admin endpoint.
func (n *Node) Status(ctx context.Context) (reporter.Status, error) {
	var s reporter.Status
	return s, n.get(ctx, "/status", &s)
}

func (n *Node) get(ctx context.Context, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Admin.String()+path, nil)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s: %s", path, response.Status, data)
	}
	return errors.Wrap(json.Unmarshal(data, out), path)
}
