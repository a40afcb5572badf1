//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hibiscusline/launcher"
	"hibiscusline/platform/simulator"
)

// Bounds of the deployment, as in the pages of Karri Ridge.
const (
	drain        = 2 * time.Second
	grace        = 6 * time.Second
	stableWindow = 3 * time.Second
	beat         = 1500 * time.Millisecond
	storeAnswer  = 4 * time.Millisecond
)

// world is a small deployment on loopback addresses.
type world struct {
	trouble bool
	folder  string
	start   time.Time
	store   *platformStore
	nodes   []*node

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, folder: folder, start: time.Now(), record: f}
	w.logf("trouble: %v", trouble)
	w.store, err = newPlatformStore()
	return w, err
}

// logf writes a line to the record, with the seconds since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		if b := n.backend(); b != nil {
			b.crash()
		}
	}
	w.store.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", w.folder)
	} else {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// platformStore is the platform's store with the pages' time of an answer.
type platformStore struct {
	simulator.Store
	server   *http.Server
	address  netip.AddrPort
	slowness atomic.Int64
}

func newPlatformStore() (*platformStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{address: l.Addr().(*net.TCPAddr).AddrPort()}
	s.slowness.Store(1)
	s.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.slowness.Load()) * storeAnswer)
		s.ServeHTTP(rw, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *platformStore) close() { _ = s.server.Close() }

// node is a machine: a sidecar process and the backend server beside it.
type node struct {
	w                                      *world
	name, zone, service                    string
	app, outbound, inbound, ready, control netip.AddrPort
	settings                               string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	server  *backend
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// addNode adds a machine at a new address.
func (w *world) addNode(service, zone string) (*node, error) { return w.newNode(service, zone, nil) }

// newNode adds a machine, at the address of another one if that is given. Its settings are the project's template,
// filled in like the platform does.
func (w *world) newNode(service, zone string, at *node) (*node, error) {
	n := &node{w: w, service: service, zone: zone, name: fmt.Sprintf("side-%s-%d", zone, len(w.nodes)+1)}
	if at != nil {
		n.app, n.outbound, n.inbound, n.ready, n.control = at.app, at.outbound, at.inbound, at.ready, at.control
	} else {
		for _, a := range []*netip.AddrPort{&n.app, &n.outbound, &n.inbound, &n.ready, &n.control} {
			var err error
			if *a, err = launcher.FreeAddress(); err != nil {
				return nil, err
			}
		}
	}
	metrics, err := launcher.FreeAddress()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"node": n.name, "zone": zone, "service": service, "app_addr": n.app.String(), "listen.outbound": n.outbound.String(),
		"listen.inbound": n.inbound.String(), "listen.ready": n.ready.String(), "listen.control": n.control.String(),
		"ip": metrics.Addr().String(), "port_range.0": fmt.Sprint(metrics.Port()), "platform.address": w.store.address.String(),
		"beat": beat.String(), "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000",
		"grants": "heartbeat", "bounds.drain": "2000ms", "bounds.grace": "6s", "bounds.budget_ratio": "0.2",
		"bounds.budget_window": "10s", "bounds.budget_slack": "56", "bounds.hold_max": "10000ms",
	}
	numbers := regexp.MustCompile(`^[0-9.]+$`)
	filled := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := values[m[1]]
		if m[2] == "" || numbers.MatchString(v) {
			return v
		}
		return `"` + v + `"`
	})
	if strings.Contains(filled, "{{") {
		return nil, fmt.Errorf("the template has an unknown placeholder")
	}
	n.settings = filepath.Join(w.folder, n.name+".json")
	if err := os.WriteFile(n.settings, []byte(filled), 0o644); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// launch starts the sidecar with the command of the deploy file.
func (n *node) launch() error {
	log, err := os.OpenFile(filepath.Join(n.w.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/hibiscusd", "sidecar")
	c.Env = append(os.Environ(), "HIBISCUSLINE_BOOT="+n.settings)
	c.Stdout, c.Stderr = log, log
	if err := launcher.Spawn(c); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.process, n.exited = c, exited
	n.mu.Unlock()
	n.w.logf("%s: process %d started", n.name, c.Process.Pid)
	return nil
}

// kill kills the sidecar with SIGKILL and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
	n.w.logf("%s: process %d killed", n.name, c.Process.Pid)
}

// terminate stops the sidecar with SIGTERM and waits for its end.
func (n *node) terminate() {
	n.mu.Lock()
	c, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	n.w.logf("%s: SIGTERM for process %d", n.name, c.Process.Pid)
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-exited
	}
	n.w.logf("%s: process %d ended", n.name, c.Process.Pid)
}

func (n *node) backend() *backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// listens reports whether the node accepts connections for liveness reports.
func (n *node) listens() bool {
	c, err := net.Dial("tcp", n.control.String())
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	r, err := http.Get(fmt.Sprintf("http://%s/readiness", n.ready))
	if err != nil {
		return false
	}
	return r.Body.Close() == nil && r.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		n.startBackend()
		if err := n.launch(); err != nil {
			return err
		}
	}
	return w.await("all nodes are ready", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func (w *world) await(what string, limit time.Duration, met func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if met() {
			w.logf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}
