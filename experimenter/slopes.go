package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "slopes", Short: "costs per process by size, for docs/CAPACITY.md", Duration: 2 * time.Minute, Run: runSlopes,
})

// Slopes is the result of the experiment slopes.
type Slopes struct {
	Seed   uint64 `json:"seed"`
	Commit string `json:"commit"`
	// Peers varies the number of idle processes, Mesh the open connections of 72 and fewer.
	Peers Stage `json:"peers"`
	Mesh  Stage `json:"mesh"`
	// Spread is the time until a configuration is in force everywhere, by the number of processes.
	Spread []Spread `json:"spread"`
	// Table varies the members in the table; each has 16 ranges. Records and Configurations have 11,000 members there.
	Table          Stage         `json:"table"`
	Records        Stage         `json:"records"`
	Configurations Stage         `json:"configurations"`
	Changes        Stage         `json:"changes"`
	Requests       []RequestCost `json:"requests"`
	Tables         []TableCosts  `json:"tables"`
}

// RequestCost is the CPU time of requests at the process of the caller and at the owner.
type RequestCost struct {
	Rate     float64 `json:"rate"`
	Answered float64 `json:"answered"`
	// Times are in microseconds of CPU per request, at the entry, the owner, and a process that is both.
	EntryUs float64 `json:"entry_us"`
	OwnerUs float64 `json:"owner_us"`
	// P99Ms is the latency that the callers saw.
	P99Ms float64 `json:"p99_ms"`
}

// Limits of section 2 of the design page.
const (
	limitCPU      = 4.5
	limitMB       = 64
	limitBytes    = 7000
	targetMembers = 11000
	targetZones   = 41
	slopesZones   = 4
)

// Broken implements Result.
func (s Slopes) Broken() []string {
	var broken []string
	points := s.Peers.Points
	last := append(points[len(points)-1:len(points):len(points)], s.Table.Points[len(s.Table.Points)-1])
	for _, c := range last {
		for name, v := range map[string][2]float64{
			"CPU": {c.CPUPercent, limitCPU}, "memory": {c.ResidentMB, limitMB}, "bytes": {max(c.PeerIn, c.PeerOut), limitBytes},
		} {
			if v[0] > v[1] {
				broken = append(broken, fmt.Sprintf("idle %s at size %g is %.1f, the limit is %g", name, c.X, v[0], v[1]))
			}
		}
	}
	return broken
}

// slopesRun holds what the stages share.
type slopesRun struct {
	Options
	span time.Duration
}

func runSlopes(ctx context.Context, o Options) (Result, error) {
	// Each of the about 20 points gets its part of the duration.
	r := slopesRun{Options: o, span: max(o.Duration/20, 2*time.Second)}
	s := Slopes{Seed: o.Seed, Commit: commit()}
	for _, stage := range []struct {
		name string
		run  func(context.Context, *Slopes) error
	}{
		{"tables", r.tables}, {"peers and mesh", r.peers}, {"table, records, configurations", r.table}, {"requests", r.requests},
	} {
		fmt.Fprintf(o.Progress, "slopes: %s\n", stage.name)
		if err := stage.run(ctx, &s); err != nil {
			return nil, errors.WithMessage(err, stage.name)
		}
	}
	return s, nil
}

// revision is the commit, for builds without version control information:
// go build -ldflags "-X hibiscusline/experimenter.revision=$(git rev-parse --short=12 HEAD)" ./cmd/hibiscuslab
var revision string

func commit() string {
	if revision != "" {
		return revision
	}
	info, _ := debug.ReadBuildInfo()
	stamped, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			stamped = setting.Value[:min(12, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = "+modified"
		}
	}
	return stamped + modified
}

// tables measures tables in processes of their own.
func (r slopesRun) tables(ctx context.Context, s *Slopes) error {
	for _, size := range []TableSize{
		{Members: 1000, Ranges: 16000, Services: 10},
		{Members: 4000, Ranges: 64000, Services: 20},
		{Members: targetMembers, Ranges: 16 * targetMembers, Services: 50},
		{Members: targetMembers, Ranges: 16 * targetMembers, Services: 1},
	} {
		command := exec.CommandContext(ctx, r.Command("").Path, "table", "--seed", strconv.FormatUint(r.Seed, 10),
			"--members", strconv.Itoa(size.Members), "--ranges", strconv.Itoa(size.Ranges),
			"--services", strconv.Itoa(size.Services), "--zones", strconv.Itoa(targetZones))
		var output bytes.Buffer
		command.Stdout, command.Stderr = &output, r.Progress
		if err := command.Run(); err != nil {
			return err
		}
		var costs TableCosts
		if err := json.Unmarshal(output.Bytes(), &costs); err != nil {
			return err
		}
		s.Tables = append(s.Tables, costs)
	}
	return nil
}

func (r slopesRun) zones() []string {
	var zones []string
	for i := range slopesZones {
		zones = append(zones, fmt.Sprintf("real-%d", i))
	}
	return zones
}

// idleService is unkeyed, so that idle processes move no ranges.
const idleService = "idle"

func (r slopesRun) configuration() validator.Configuration {
	c := tableConfiguration(TableSize{Members: 10, Ranges: 160, Services: 1})
	c.Services[idleService] = validator.Service{MaxRequestTime: validator.Duration(time.Second)}
	c.Rules = append(c.Rules, validator.Rule{Name: "idle", Service: idleService, Rank: "all"})
	return c
}

// start starts a fleet of idle processes and waits until their guardians have settled.
func (r slopesRun) start(ctx context.Context, count int, c launcher.Config) (*launcher.Fleet, error) {
	const settle = 5 * time.Second
	c.Command, c.Seed = r.Command, r.Seed
	if c.Zones == nil {
		c.Zones = r.zones()
	}
	c.Services = []launcher.Service{{Name: idleService, Servers: count, Slots: 12, Connections: 110}}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	f, err := launcher.Start(ctx, c)
	if err != nil && ctx.Err() == nil {
		// Another program may have taken a port between its choice and its use.
		fmt.Fprintf(r.Progress, "slopes: start again after: %v\n", err)
		f, err = launcher.Start(ctx, c)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
	return f, nil
}

// peers measures idle processes, first with the connections that leases need and then with one to every other process.
func (r slopesRun) peers(ctx context.Context, s *Slopes) error {
	var idle, mesh []NodeCosts
	for _, count := range []int{4, 12, 36, 72} {
		f, err := r.start(ctx, count, launcher.Config{Configuration: r.configuration()})
		if err != nil {
			return err
		}
		before, err := observe(ctx, float64(count), f.Nodes, r.span)
		if err == nil {
			err = r.spread(ctx, f, s)
		}
		if err == nil {
			err = r.connectAll(ctx, f)
		}
		var after NodeCosts
		if err == nil {
			after, err = observe(ctx, 0, f.Nodes, r.span)
		}
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
		if err != nil {
			return err
		}
		after.X = after.Connections
		idle, mesh = append(idle, before), append(mesh, after)
	}
	s.Peers, s.Mesh = newStage("processes", idle), newStage("connections", mesh)
	return nil
}

// connectAll sends requests through all entries until most pairs of processes are connected.
func (r slopesRun) connectAll(ctx context.Context, f *launcher.Fleet) error {
	_, err := generator.Run(ctx, generator.Config{
		Entries: f.Entries(), Duration: validator.Duration(r.span), Seed: r.Seed, MaxConnections: 4,
		Streams: []generator.Stream{{Name: "idle", Rank: "all", Rate: 1500, Service: idleService, Path: "/"}},
	})
	return err
}
