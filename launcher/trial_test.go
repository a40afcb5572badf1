package launcher

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/follower"
	"hibiscusline/generator"
	"hibiscusline/hasher"
	"hibiscusline/validator"
)

const (
	// patience bounds every wait for an event. The times that are promised are judged by the experiments.
	patience = 20 * time.Second
	fenced   = "desk"
	unfenced = "stock"
	unkeyed  = "archive"
)

// trial is a fleet under test with everything that was asked of it.
type trial struct {
	*testing.T
	*Fleet
	ctx context.Context

	// timeout is that of callers, 3 s if zero.
	timeout time.Duration

	mu      sync.Mutex
	refused []string
	serial  int
}

func trialConfiguration() validator.Configuration {
	second := validator.Duration(time.Second)
	return validator.Configuration{
		Services: map[string]validator.Service{
			unfenced: {Keyed: true, InitialRanges: 24, MaxRequestTime: second / 2, IdempotencyWindow: 30 * second},
			fenced:   {Keyed: true, InitialRanges: 24, MaxRequestTime: second, IdempotencyWindow: 30 * second},
			unkeyed:  {MaxRequestTime: second},
		},
		Ranks: map[string]validator.Rank{
			"order": {Urgency: 0, Floor: 0.3, LatencyTarget: second / 4},
			"stock": {Urgency: 1, Floor: 0.3, LatencyTarget: second / 4},
		},
		Rules: []validator.Rule{
			{Name: "desk", Service: fenced, Rank: "order"},
			{Name: "stock", Service: unfenced, Rank: "stock"},
			{Name: "archive", Service: unkeyed, Rank: "stock"},
		},
		Policy: validator.Policy{Operators: []string{"liis", "tormi"}},
	}
}

// startTrial starts a fleet in four zones with proxies around every process.
func startTrial(t *testing.T, serviceTime time.Duration, counts map[string]int, edits ...func(*validator.Configuration)) *trial {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	directory := t.TempDir()
	c := Config{
		Directory: directory, Zones: []string{"a", "b", "c", "d"}, Configuration: trialConfiguration(), Disturbed: true,
		Command: func(settings string) *exec.Cmd {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), daemonVariable+"="+settings)
			return c
		},
	}
	for _, edit := range edits {
		edit(&c.Configuration)
	}
	for _, name := range []string{fenced, unfenced, unkeyed} {
		if counts[name] == 0 {
			continue
		}
		c.Services = append(c.Services, Service{
			Name: name, Servers: counts[name], Slots: 12, Connections: 110, Unfenced: name == unfenced,
			Settings: emulator.ServerSettings{ServiceTime: validator.Duration(serviceTime)},
		})
	}
	starting, stopStarting := context.WithTimeout(ctx, patience)
	defer stopStarting()
	f, err := Start(starting, c)
	if err != nil {
		showAllLogs(t, directory)
	}
	require.NoError(t, err)
	t.Cleanup(func() {
		for _, n := range f.Nodes {
			assert.NoError(t, n.failed())
		}
		showLogs(t, directory)
		require.NoError(t, f.Stop())
	})
	return &trial{T: t, Fleet: f, ctx: ctx}
}

// callers use a connection for each request: one that is kept open and unused may be closed by the server at the moment at
// which HTTP/1.1 callers send on it, whatever the server does.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// answer is what a caller got.
type answer struct {
	outcome, reason, server, id string
	body                        []byte
	err                         error
}

func (a answer) answered() bool { return a.err == nil && a.outcome == "answered" }

// ask sends a request with a unique id to a process and keeps the ids of those that were not run.
func (w *trial) ask(ctx context.Context, entry *Node, service, key, path, idempotency string) answer {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("%s-%d", w.Name(), w.serial)
	w.mu.Unlock()
	method, body := http.MethodGet, io.Reader(nil)
	if idempotency != "" {
		method, body = http.MethodPost, bytes.NewReader([]byte(id))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Settings.Listen.String()+path, body)
	require.NoError(w, err)
	request.Header.Set("Hibiscus-Service", service)
	request.Header.Set("Hibiscus-Timeout-Ms", fmt.Sprint(cmp.Or(w.timeout, 3*time.Second).Milliseconds()))
	request.Header.Set("X-Request-Id", id)
	if key != "" {
		request.Header.Set("Hibiscus-Key", key)
	}
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	response, err := callers.Do(request)
	if err != nil {
		return answer{err: err, id: id}
	}
	defer response.Body.Close()
	a := answer{id: id, outcome: response.Header.Get("Hibiscus-Outcome"), reason: response.Header.Get("Hibiscus-Reason"), server: response.Header.Get(emulator.HeaderServer)}
	a.body, a.err = io.ReadAll(response.Body)
	if a.outcome == "not_run" {
		w.mu.Lock()
		w.refused = append(w.refused, id)
		w.mu.Unlock()
	}
	return a
}

// await waits until an event has happened.
func (w *trial) await(what string, happened func() bool) {
	w.Helper()
	until := time.Now().Add(patience)
	for !happened() {
		if time.Now().After(until) {
			require.Fail(w, "did not happen: "+what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitAnswer asks until a request is answered by another process than the given one.
func (w *trial) awaitAnswer(entry *Node, service, key string, except *Node) answer {
	w.Helper()
	var a answer
	w.await("answer for "+key, func() bool {
		a = w.ask(w.ctx, entry, service, key, "/items", "")
		return a.answered() && (except == nil || a.server != except.Name)
	})
	return a
}

// state reads the log.
func (w *trial) state(view func(*applier.State)) {
	var f *follower.Follower
	// A log that has just dropped records may hold no whole checkpoint for a moment.
	w.await("state in the log", func() bool {
		var err error
		f, err = w.State(w.ctx)
		return err == nil
	})
	f.View(view)
}

// owner returns the process that owns a key, by the log. A key has no owner for a moment when all members of its service
// were lost, as after a stall of the machine that is longer than their leases.
func (w *trial) owner(service, key string) *Node {
	w.Helper()
	var n *Node
	w.await("owner of "+key, func() bool {
		n = w.findOwner(service, key)
		return n != nil
	})
	return n
}

// findOwner returns the process that owns a key, by the log, or nil while the key has no owner.
func (w *trial) findOwner(service, key string) *Node {
	var name string
	w.state(func(s *applier.State) {
		if a, found := s.Lookup(service, hasher.KeyPosition(key)); found && s.Members[a.Owner] != nil {
			name = s.Members[a.Owner].Name
		}
	})
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return nil
	}
	return w.Nodes[i]
}

// guardians returns the processes that guard another one, by the log.
func (w *trial) guardians(n *Node) []*Node {
	var names []string
	w.state(func(s *applier.State) {
		for _, m := range s.Members {
			if m.Name != n.Name {
				continue
			}
			for _, g := range m.Guardians {
				if s.Members[g] != nil {
					names = append(names, s.Members[g].Name)
				}
			}
		}
	})
	return slices.DeleteFunc(slices.Clone(w.Nodes), func(o *Node) bool { return !slices.Contains(names, o.Name) })
}

// other returns a running process that is none of the given ones.
func (w *trial) other(service string, not ...*Node) *Node {
	for _, n := range w.Nodes {
		if n.Running() && !slices.Contains(not, n) && (service == "" || n.Service == service) {
			return n
		}
	}
	require.Fail(w, "no other process")
	return nil
}

// load sends mixed requests until the returned function is called, which returns the report.
func (w *trial) load(entries ...*Node) func() generator.Report {
	c := generator.Config{
		Duration: validator.Duration(time.Hour), Resends: 3, ResendDelay: validator.Duration(150 * time.Millisecond),
		Streams: []generator.Stream{
			{Name: "stock", Rate: 150, Service: unfenced, Path: "/items", Keys: 40, KeyPrefix: "bolt-"},
			{Name: "desk", Rate: 80, Service: fenced, Path: "/echo", Method: http.MethodPost, Keys: 30, KeyPrefix: "order-", NonRepeatable: true},
			{Name: "desk-read", Rate: 60, Service: fenced, Path: "/size/3000", Keys: 30, KeyPrefix: "order-"},
		},
	}
	if slices.ContainsFunc(w.Nodes, func(n *Node) bool { return n.Service == unkeyed }) {
		c.Streams = append(c.Streams, generator.Stream{Name: "archive", Rate: 60, Service: unkeyed, Path: "/size/5000"})
	}
	if len(entries) == 0 {
		entries = w.Nodes
	}
	for _, n := range entries {
		c.Entries = append(c.Entries, n.Settings.Listen)
	}
	present := c.Streams[:0]
	for _, s := range c.Streams {
		if slices.ContainsFunc(w.Nodes, func(n *Node) bool { return n.Service == s.Service }) {
			present = append(present, s)
		}
	}
	c.Streams = present
	ctx, cancel := context.WithCancel(w.ctx)
	done := make(chan generator.Report, 1)
	go func() {
		report, err := generator.Run(ctx, c)
		if err != nil {
			w.Error(err)
		}
		done <- report
	}()
	return func() generator.Report {
		cancel()
		return <-done
	}
}

// judge checks the invariants that the ledger of the backend servers and the callers' answers show.
func (w *trial) judge(reports ...generator.Report) {
	w.Helper()
	notRun := slices.Clone(w.refused)
	for _, r := range reports {
		notRun = append(notRun, r.NotRunIDs...)
		for _, s := range r.Streams {
			require.Zero(w, s.Crossed, s.Name)
			require.Zero(w, s.Truncated, s.Name)
			require.NotZero(w, s.Answered, s.Name)
		}
	}
	// Requests may still run at servers whose process was killed.
	var ledger emulator.LedgerReport
	w.await("end of all executions", func() bool {
		ledger = w.Ledger.Report()
		return !slices.ContainsFunc(ledger.Executions, func(e emulator.Execution) bool { return e.Status == emulator.Running })
	})
	require.Zero(w, ledger.Dropped)
	v := emulator.Judge(ledger.Executions, notRun)
	require.Empty(w, v.Overlaps)
	require.Empty(w, v.Inversions)
	require.Empty(w, v.Doubled)
	require.Empty(w, v.NotRunButRan)
}

func showAllLogs(t *testing.T, directory string) {
	t.Fail()
	showLogs(t, directory)
}
