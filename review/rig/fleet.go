package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hibiscusline/platform/simulator"
)

// node is a machine: a process under test and the backend server beside it.
type node struct {
	name, zone, service                          string
	listen, peer, ready, control, metrics, local string
	settings                                     string
	// The mutex guards server, which changes when a server starts again.
	mu         sync.Mutex
	server     *backend
	command    *exec.Cmd
	stopServer context.CancelFunc
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	binary, directory, store string
	platform                 *simulator.Store
	record                   *recorder
	nodes                    []*node
}

// Bounds of the site vatilaane-mesh.
const (
	beat       = 870 * time.Millisecond
	maxHold    = 10 * time.Second
	stopWithin = 6 * time.Second
	host       = "rig.example"
)

// usedAddresses are those that freeAddress has returned. The system may give a port out again that was closed.
var usedAddresses = map[string]bool{}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address, nil
		}
	}
}

// startStore starts the platform's store with one configuration.
func (f *fleet) startStore() error {
	var err error
	if f.store, err = freeAddress(); err != nil {
		return err
	}
	f.platform = &simulator.Store{}
	go func() { _ = http.ListenAndServe(f.store, f.platform) }() //nolint:gosec // It ends with the process.
	return f.platform.Publish(1, host, []simulator.Route{
		{Name: "stock", Prefix: "/stock/", Service: "varu", Kind: "idempotent"},
		{Name: "orders", Prefix: "/orders/", Service: "tellimus", Kind: "non_idempotent"},
	}, map[string]bool{"varu": true, "tellimus": false})
}

// add adds a machine whose backend server serves a service.
func (f *fleet) add(name, zone, service string, keyed bool) error {
	n := &node{name: name, zone: zone, service: service}
	for _, a := range []*string{&n.listen, &n.peer, &n.ready, &n.control, &n.metrics, &n.local} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return err
		}
	}
	settings := map[string]any{
		"name": name, "zone": zone, "service": service, "backend": n.local, "listen": n.listen, "peer": n.peer,
		"ready": n.ready, "local": n.control, "metrics": n.metrics, "store": f.store, "heartbeat": beat.String(),
		"memory_mb": 284, "descriptors": 4100, "link_mbps": 1000, "grants": "heartbeat",
		"bounds": map[string]any{
			"drain": "2000ms", "grace": stopWithin.String(), "retry_share": 0.2, "retry_window": "10s", "retry_slack": 64,
			"max_hold": maxHold.String(),
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(f.directory, name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	n.server = newBackend(&backend{
		id: "i-" + name, service: service, zone: zone, address: n.local, control: n.control, keyed: keyed, beat: beat,
		work: 60 * time.Millisecond, record: f.record,
	})
	f.nodes = append(f.nodes, n)
	return nil
}

// startProcess starts the process under test, as the deploy file does.
func (f *fleet) startProcess(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.directory, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(f.binary, "sidecar", "--configuration-within=2000ms")
	n.command.Env = []string{"HIBISCUSLINE_BOOT=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return errors.Join(n.command.Start(), log.Close())
}

// setServer sets the server of a machine, which is a new life of the one before.
func (f *fleet) setServer(n *node, b *backend) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = b
}

// current returns the server of a machine.
func (n *node) current() *backend {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// startServer starts the backend server of a machine.
func (f *fleet) startServer(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopServer = cancel
	b := n.current()
	go func() {
		if err := b.run(ctx); err != nil {
			f.record.note("server %s ended: %v", b.id, err)
		}
	}()
}

func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := f.startProcess(n); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		f.startServer(n)
	}
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Kill() // It may have ended.
		_ = n.command.Wait()         // A kill is an error.
	}
}

// held returns the number of keys, of those that are checked, that some server holds.
func (f *fleet) held(now time.Time, service string) int {
	n := 0
	for key := uint64(0); key < keyCount; key += keyStep {
		for _, x := range f.nodes {
			if x.service != service {
				continue
			}
			if _, holds := x.current().holding(now, key); holds {
				n++
				break
			}
		}
	}
	return n
}

// await waits until all keys are held.
func (f *fleet) await(service string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.held(time.Now(), service) == keyCount/keyStep {
			return nil
		}
	}
	return fmt.Errorf("%d of %d keys are held", f.held(time.Now(), service), keyCount/keyStep)
}
