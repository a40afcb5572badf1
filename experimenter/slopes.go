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

// SlopesResult is the result of the experiment slopes.
type SlopesResult struct {
	Seed   uint64 `json:"seed"`
	Commit string `json:"commit"`
	// Peers varies the number of idle processes, Mesh the number of open connections between up to 72 processes.
	Peers Sweep `json:"peers"`
	Mesh  Sweep `json:"mesh"`
	// Spread is the time until a configuration is in force at all processes, by their number.
	Spread []Propagation `json:"spread"`
	// Table varies the number of members in the table, each with 16 ranges. Records, Configurations and Changes use the
	// largest table, with 11,000 members.
	Table          Sweep         `json:"table"`
	Records        Sweep         `json:"records"`
	Configurations Sweep         `json:"configurations"`
	Changes        Sweep         `json:"changes"`
	Requests       []RequestCost `json:"requests"`
	Tables         []TableCosts  `json:"tables"`
}

// RequestCost is the cost of requests that enter at one process and are served by another, the owner.
type RequestCost struct {
	// Rate is in requests per second.
	Rate     float64 `json:"rate"`
	Answered float64 `json:"answered"`
	// EntryUs and OwnerUs are microseconds of CPU time per request.
	EntryUs float64 `json:"entry_us"`
	OwnerUs float64 `json:"owner_us"`
	// P99Ms is the p99 latency of the callers.
	P99Ms float64 `json:"p99_ms"`
}

// Limits for a process, and the target size, from section 2 of docs/design.md.
const (
	// limitCPU is in percent of a core.
	limitCPU = 4.5
	limitMB  = 64
	// limitBytes is in bytes per second.
	limitBytes    = 7000
	targetMembers = 11000
	targetZones   = 41
	// slopesZones is the number of zones of the measured processes.
	slopesZones = 4
)

// Violations implements Result.
func (s SlopesResult) Violations() []string {
	var violations []string
	points := s.Peers.Points
	last := append(points[len(points)-1:len(points):len(points)], s.Table.Points[len(s.Table.Points)-1])
	for _, c := range last {
		for name, v := range map[string][2]float64{
			"CPU": {c.CPUPercent, limitCPU}, "memory": {c.ResidentMB, limitMB}, "bytes": {max(c.PeerInBytes, c.PeerOutBytes), limitBytes},
		} {
			if v[0] > v[1] {
				violations = append(violations, fmt.Sprintf("idle %s at size %g is %.1f, the limit is %g",
					name, c.X, v[0], v[1]))
			}
		}
	}
	return violations
}

// slopesRun is a run of the experiment slopes.
type slopesRun struct {
	Options
	// pointDuration is the duration of each measurement.
	pointDuration time.Duration
}

func runSlopes(ctx context.Context, o Options) (Result, error) {
	// The duration is divided between about 20 measurements.
	r := slopesRun{Options: o, pointDuration: max(o.Duration/20, 2*time.Second)}
	s := SlopesResult{Seed: o.Seed, Commit: buildCommit()}
	for _, stage := range []struct {
		name string
		run  func(context.Context, *SlopesResult) error
	}{
		{"tables", r.measureTableProcesses},
		{"peers and mesh", r.measurePeers},
		{"table, records, configurations", r.measureIdleByTableSize},
		{"requests", r.measureRequests},
	} {
		fmt.Fprintf(o.Progress, "slopes: measuring %s\n", stage.name)
		if err := stage.run(ctx, &s); err != nil {
			return nil, errors.WithMessage(err, stage.name)
		}
	}
	return s, nil
}

// revision is the commit for builds without version control information. It is set by the linker:
// go build -ldflags "-X hibiscusline/experimenter.revision=$(git rev-parse --short=12 HEAD)" ./cmd/hibiscuslab
var revision string

// buildCommit returns the commit of this build.
func buildCommit() string {
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

// measureTableProcesses measures tables of several sizes, each in a separate process.
func (r slopesRun) measureTableProcesses(ctx context.Context, s *SlopesResult) error {
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

// idleService isn't keyed, so that idle processes move no ranges.
const idleService = "idle"

func (r slopesRun) configuration() validator.Configuration {
	c := tableConfiguration(TableSize{Members: 10, Ranges: 160, Services: 1})
	c.Services[idleService] = validator.Service{MaxRequestTime: validator.Duration(time.Second)}
	c.Rules = append(c.Rules, validator.Rule{Name: "idle", Service: idleService, Rank: "all"})
	return c
}

// start starts a fleet of idle processes and waits until their guardians no longer change.
func (r slopesRun) start(ctx context.Context, count int, c launcher.Config) (*launcher.Fleet, error) {
	const guardianSettleTime = 5 * time.Second
	c.Command, c.Seed = r.Command, r.Seed
	if c.Zones == nil {
		c.Zones = r.zones()
	}
	c.Services = []launcher.Service{{Name: idleService, Servers: count, Slots: 12, Connections: 110}}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	f, err := launcher.Start(ctx, c)
	if err != nil && ctx.Err() == nil {
		// Another program may have taken a port after it was chosen.
		fmt.Fprintf(r.Progress, "slopes: starting the fleet failed, trying again: %v\n", err)
		f, err = launcher.Start(ctx, c)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(guardianSettleTime)
	return f, nil
}

// measurePeers measures idle processes, first with only the connections that leases need and then with connections
// between all of them.
func (r slopesRun) measurePeers(ctx context.Context, s *SlopesResult) error {
	var idle, mesh []NodeCosts
	for _, count := range []int{4, 12, 36, 72} {
		f, err := r.start(ctx, count, launcher.Config{Configuration: r.configuration()})
		if err != nil {
			return err
		}
		before, err := measureNodes(ctx, float64(count), f.Nodes, r.pointDuration)
		if err == nil {
			err = r.measurePropagation(ctx, f, s)
		}
		if err == nil {
			err = r.connectAll(ctx, f)
		}
		var after NodeCosts
		if err == nil {
			after, err = measureNodes(ctx, 0, f.Nodes, r.pointDuration)
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
	s.Peers, s.Mesh = newSweep("processes", idle), newSweep("connections", mesh)
	return nil
}

// connectAll sends requests through all entries for long enough to connect most pairs of processes.
func (r slopesRun) connectAll(ctx context.Context, f *launcher.Fleet) error {
	_, err := generator.Run(ctx, generator.Config{
		Entries: f.Entries(), Duration: validator.Duration(r.pointDuration), Seed: r.Seed, MaxConnections: 4,
		Streams: []generator.Stream{{Name: "idle", Rank: "all", Rate: 1500, Service: idleService, Path: "/"}},
	})
	return err
}
