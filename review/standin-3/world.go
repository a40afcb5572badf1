package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/platform/simulator"
)

// Settings of a small deployment, as DEPLOY.md and the small site files give them.
const (
	memoryMB    = 284
	descriptors = 4100
	linkMbps    = 1000
	beat        = time.Second
	host        = "h.example"
	zone        = "zone-a"
)

// record is the record of a run, and the place of its verdict.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// world is a small deployment: the store, the processes of the deploy file and the backend servers beside them.
type world struct {
	*record
	binary, directory string
	store             *simulator.Store
	storeServer       *http.Server
	storeAddress      netip.AddrPort
	nodes             []*node
	// used holds the addresses that were given to the nodes.
	used map[netip.AddrPort]bool
}

func newWorld(r *record, binary string) (*world, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w := &world{record: r, binary: binary, directory: directory, store: &simulator.Store{}, used: map[netip.AddrPort]bool{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w.storeAddress = netip.MustParseAddrPort(l.Addr().String())
	w.storeServer = &http.Server{Handler: w.store}
	go func() { _ = w.storeServer.Serve(l) }()
	return w, nil
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

func (w *world) publish(version int, routes []route, services map[string]bool) error {
	var resources []any
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"type": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{
				"host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout": r.timeout.String(), "target_latency": "1s",
				"priority": 1, "attempts": 2, "service": r.service,
			},
		})
	}
	for name, keyed := range services {
		resources = append(resources, map[string]any{
			"type": "services", "metadata": map[string]any{"name": name},
			"spec": map[string]any{"health_path": "/health", "max_conns": 110, "sharded": keyed, "warm": "3s"},
		})
	}
	resources = append(resources, map[string]any{
		"type": "limits", "metadata": map[string]any{"name": "limits"},
		"spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "2s", "idle_timeout": "10s",
		},
	})
	data, err := cbor.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	if err != nil {
		return errors.WithStack(err)
	}
	w.store.Put("keyed.op", "config", data)
	return nil
}

// node is a machine: a process of the deploy file with the backend server beside it.
type node struct {
	world                                        *world
	name, service                                string
	backend, listen, peer, ready, local, metrics netip.AddrPort
	settingsPath, logPath                        string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Ports of the deployments. They lie below those that the kernel gives to connections, which could take one before it is used.
const firstPort, endPort = 12_000, 32_000

// freeAddresses returns addresses that nobody uses and that it hasn't returned before.
func (w *world) freeAddresses(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range endPort - firstPort {
		if len(list) == n {
			return list, nil
		}
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(endPort-firstPort)))
		l, err := net.Listen("tcp4", a.String())
		if err != nil || w.used[a] {
			if err == nil {
				_ = l.Close()
			}
			continue
		}
		defer func() { _ = l.Close() }()
		w.used[a] = true
		list = append(list, a)
	}
	return nil, errors.New("no free addresses")
}

func (w *world) newNode(name, service string) (*node, error) {
	a, err := w.freeAddresses(6)
	if err != nil {
		return nil, err
	}
	n := &node{
		world: w, name: name, service: service, backend: a[0], listen: a[1], peer: a[2], ready: a[3], local: a[4], metrics: a[5],
		settingsPath: filepath.Join(w.directory, name+".json"), logPath: filepath.Join(w.directory, name+".log"),
	}
	w.nodes = append(w.nodes, n)
	return n, n.writeSettings()
}

// writeSettings writes the settings as deploy/settings.json renders them.
func (n *node) writeSettings() error {
	data, err := json.Marshal(map[string]any{
		"name": n.name, "zone": zone, "service": n.service, "backend": n.backend, "listen": n.listen, "peer": n.peer,
		"ready": n.ready, "local": n.local, "metrics": n.metrics, "store": n.world.storeAddress, "heartbeat": beat.String(),
		"memory_mb": memoryMB, "descriptors": descriptors, "link_mbps": linkMbps, "grants": "heartbeat",
		"bounds": map[string]any{
			"drain": "2000ms", "grace": "6s", "retry_share": 0.2, "retry_window": "10s", "retry_slack": 56, "max_hold": "10000ms",
		},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(n.settingsPath, data, 0o600))
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = log.Close() }() // The process has its own copy of the descriptor.
	c := exec.Command(n.world.binary, "sidecar", "--configuration-within=2000ms")
	c.Stdout, c.Stderr = log, log
	c.Env = []string{"HIBISCUSLINE_BOOT=" + n.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return errors.WithStack(err)
	}
	exited := make(chan struct{})
	go func() {
		err := c.Wait()
		n.world.printf("process %s ended: %v", n.name, err)
		close(exited)
	}()
	n.mu.Lock()
	n.process, n.exited = c, exited
	n.mu.Unlock()
	n.world.printf("process %s started", n.name)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// awaitReady waits until the readiness check succeeds, as the platform does.
func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + n.ready.String() + "/readiness")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s isn't ready after %v", n.name, limit)
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		n.mu.Lock()
		process, exited := n.process, n.exited
		n.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Kill()
		<-exited
	}
	_ = w.storeServer.Close()
	_ = os.RemoveAll(w.directory)
}

// server is a sound backend server that says ready in its heartbeats.
type server struct {
	node *node
	id   string
	born int64
	// handle answers the requests that may run.
	handle http.HandlerFunc

	mu       sync.Mutex
	seq      uint64
	statuses map[int]int
	ran      map[string]int
	http     *http.Server
	stop     context.CancelFunc
	done     chan struct{}
}

func (n *node) newServer(id string, born int64, handle http.HandlerFunc) *server {
	return &server{node: n, id: id, born: born, handle: handle, statuses: map[int]int{}, ran: map[string]int{}}
}

func (s *server) start() error {
	l, err := net.Listen("tcp4", s.node.backend.String())
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.done = cancel, make(chan struct{})
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.sendHeartbeat(ctx)
			select {
			case <-time.After(beat):
			case <-ctx.Done():
			}
		}
	}()
	s.node.world.printf("server %s of %s started, born %d", s.id, s.node.name, s.born)
	return nil
}

// crash ends the server without a word.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
	<-s.done
	s.node.world.printf("server %s of %s crashed; answers to its heartbeats by status: %v", s.id, s.node.name, s.beats())
}

func (s *server) beats() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[int]int{}
	for k, v := range s.statuses {
		copied[k] = v
	}
	return copied
}

func (s *server) sendHeartbeat(ctx context.Context) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	data, err := cbor.Marshal(map[string]any{
		"address": s.node.backend.String(), "born": s.born,
		"info":   map[string]any{"service": s.node.service, "zone": zone, "slots": 12, "version": "v1"},
		"status": map[string]any{"state": "ready", "seq": seq, "cold_left": "0ms"},
		"holds":  []any{}, "freed": []any{},
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/Instances.Heartbeat/%s", s.node.local, s.id)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return
	}
	status := 0
	if r, err := http.DefaultClient.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		status = r.StatusCode
	}
	s.mu.Lock()
	s.statuses[status]++
	s.mu.Unlock()
}

// ServeHTTP answers as PROTOCOL.md says.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Instance-Id", s.id)
	switch {
	case r.URL.Path == "/health":
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != s.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.handle(w, r)
}

func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}
