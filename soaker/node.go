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
	"hibiscusline/platform/imitator"
)

// node is one backend server with the process beside it and the proxies on its connections.
type node struct {
	soak     *soak
	settings loader.SidecarSettings
	path     string
	// peers carries the connections of other processes, store those to the store.
	peers, store *disruptor.Proxy

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	server    *imitator.Server
	stopped   context.CancelFunc
	serverEnd chan struct{}
	// busy means that a fault of the process or of the server is under way.
	busy bool
}

func (s *soak) newNode(i int, store netip.AddrPort) (*node, error) {
	n := &node{soak: s, path: filepath.Join(s.config.Directory, fmt.Sprintf("node-%d.json", i))}
	n.settings = loader.DefaultSidecarSettings()
	n.settings.Name, n.settings.Zone, n.settings.Service = fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i%3), "orders"
	if i < s.config.Stock {
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
	if n.peers, err = disruptor.New(disruptor.Config{Listen: local, Upstream: n.settings.Peer}); err != nil {
		return nil, err
	}
	if n.store, err = disruptor.New(disruptor.Config{Listen: local, Upstream: store}); err != nil {
		return nil, err
	}
	n.settings.Advertise, n.settings.Store = n.peers.Addr(), n.store.Addr()
	return n, n.writeSettings()
}

func (n *node) writeSettings() error {
	s := n.settings
	data, err := json.Marshal(map[string]any{
		"name": s.Name, "zone": s.Zone, "service": s.Service, "backend": s.Backend, "listen": s.Listen, "peer": s.Peer,
		"advertise": s.Advertise, "ready": s.Ready, "local": s.Local, "metrics": s.Metrics, "store": s.Store,
		"heartbeat": beat.String(), "bounds": map[string]any{"max_hold": maxHold.String()},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(n.path, data, 0o644))
}

// start starts the process.
func (n *node) start() error {
	log, err := n.soak.logFile(n.settings.Name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	c := exec.Command(n.soak.config.Binary, "sidecar", "--settings", n.path)
	c.Stdout, c.Stderr = log, log
	if err := launcher.Spawn(c); err != nil {
		return errors.WithStack(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait() // How the process ended is in its log.
		close(exited)
	}()
	n.mu.Lock()
	n.process, n.exited = c, exited
	n.mu.Unlock()
	return nil
}

// signal sends a signal to the process. One that has just ended gets none.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
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

// startServer starts the next incarnation of the backend server, under its id.
func (n *node) startServer() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := imitator.NewServer(imitator.ServerConfig{
		ID: "i-" + n.settings.Name, Service: n.settings.Service, Zone: n.settings.Zone, Address: n.settings.Backend,
		Local: n.settings.Local, BornMillis: time.Now().UnixMilli(), HeartbeatInterval: beat,
		ServiceTime: 5 * time.Millisecond, Keyed: n.settings.Service == "stock", Checker: n.soak.judge,
	})
	go func() {
		defer close(done)
		_ = server.Run(ctx) // It ends with the context.
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server, n.stopped, n.serverEnd = server, cancel, done
}

func (n *node) endServer() {
	n.mu.Lock()
	stop, done := n.stopped, n.serverEnd
	n.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

func (n *node) closeProxies() {
	for _, p := range []*disruptor.Proxy{n.peers, n.store} {
		_ = p.Close()
	}
}
