package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/disruptor"
	"hibiscusline/launcher"
	"hibiscusline/loader"
	"hibiscusline/platform/simulator"
)

// node is a backend server with the hibiscusd process beside it and the proxies on the connections of that process.
type node struct {
	run          *soakRun
	settings     loader.SidecarSettings
	settingsPath string
	// peerProxy carries the connections that other processes open to this one, storeProxy those to the store.
	peerProxy, storeProxy *disruptor.Proxy

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	server       *simulator.Server
	cancelServer context.CancelFunc
	serverDone   chan struct{}
	// lifetime is the number of starts of the process.
	lifetime int
	// faultActive is set while a fault of the process or of the server is active.
	faultActive bool
}

func (s *soakRun) newNode(i int, store netip.AddrPort) (*node, error) {
	n := &node{run: s, settingsPath: filepath.Join(s.config.Directory, fmt.Sprintf("node-%d.json", i))}
	n.settings = loader.DefaultSidecarSettings()
	n.settings.Name, n.settings.Zone, n.settings.Service = fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i%3), "orders"
	if i < s.config.StockServers {
		n.settings.Service = "stock"
	}
	for _, a := range []*netip.AddrPort{
		&n.settings.Backend, &n.settings.Listen, &n.settings.Peer, &n.settings.Ready, &n.settings.Local, &n.settings.Metrics,
	} {
		var err error
		if *a, err = launcher.FreeAddress(); err != nil {
			return nil, err
		}
	}
	local := netip.AddrPortFrom(n.settings.Peer.Addr(), 0)
	var err error
	if n.peerProxy, err = disruptor.New(disruptor.Config{Listen: local, Upstream: n.settings.Peer}); err != nil {
		return nil, err
	}
	if n.storeProxy, err = disruptor.New(disruptor.Config{Listen: local, Upstream: store}); err != nil {
		return nil, err
	}
	n.settings.Grants = s.config.Grants
	n.settings.Advertise, n.settings.Store = n.peerProxy.Addr(), n.storeProxy.Addr()
	return n, n.writeSettings()
}

func (n *node) writeSettings() error {
	s := n.settings
	data, err := json.Marshal(map[string]any{
		"name": s.Name, "zone": s.Zone, "service": s.Service, "backend": s.Backend, "listen": s.Listen, "peer": s.Peer,
		"advertise": s.Advertise, "ready": s.Ready, "local": s.Local, "metrics": s.Metrics, "store": s.Store,
		"heartbeat": heartbeatInterval.String(), "grants": s.Grants, "bounds": map[string]any{"max_hold": maxHold.String()},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(n.settingsPath, data, 0o644))
}

// start starts the process. A start counts as a fault.
func (n *node) start() error {
	n.run.touch.begin(n)
	defer n.run.touch.end(n)
	log, err := n.run.logFile(n.settings.Name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // The process has its own copy of the descriptor.
	c := exec.Command(n.run.config.Binary, "sidecar", "--settings", n.settingsPath)
	c.Stdout, c.Stderr = log, log
	n.mu.Lock()
	n.lifetime++
	n.mu.Unlock()
	if err := launcher.Spawn(c); err != nil {
		return errors.WithStack(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait() // Processes are killed on purpose; the cause of another exit is in the log.
		close(exited)
	}()
	n.mu.Lock()
	n.process, n.exited = c, exited
	n.mu.Unlock()
	return nil
}

func (n *node) currentLifetime() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lifetime
}

// signal sends a signal to the process. It ignores the error for a process that has already exited.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill kills the process and waits until it has exited.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait()
}

func (n *node) wait() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// startServer starts a new incarnation of the backend server under the same ID.
func (n *node) startServer() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := simulator.NewServer(simulator.ServerConfig{
		ID: "i-" + n.settings.Name, Service: n.settings.Service, Zone: n.settings.Zone, Address: n.settings.Backend,
		Local: n.settings.Local, BornMillis: time.Now().UnixMilli(), HeartbeatInterval: heartbeatInterval, ServiceTime: 5 * time.Millisecond,
		Keyed: n.settings.Service == "stock", Checker: n.run.checker,
		GrantsByRequest: n.settings.Grants == loader.GrantsByRequest, LateGrantShare: lateGrantShare,
	})
	go func() {
		defer close(done)
		_ = server.Run(ctx) // Run returns when the context ends.
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server, n.cancelServer, n.serverDone = server, cancel, done
}

func (n *node) stopServer() {
	n.mu.Lock()
	stop, done := n.cancelServer, n.serverDone
	n.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

func (n *node) closeProxies() {
	for _, p := range []*disruptor.Proxy{n.peerProxy, n.storeProxy} {
		_ = p.Close()
	}
}
