package experimenter

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/launcher"
)

// clockTicks is the number of clock ticks per second in the CPU times of /proc on Linux.
const clockTicks = 100

// counters are the resources that a process has used since its start, and its current memory and connections. logBytes
// counts the traffic with the log in both directions.
type counters struct {
	cpu                       time.Duration
	peerOutBytes, peerInBytes float64
	peerPackets               float64
	logBytes                  float64
	residentMB                float64
	connections               float64
}

// readCounters reads the counters of a process from /proc and from its metrics.
func readCounters(ctx context.Context, n *launcher.Node) (counters, error) {
	var c counters
	var err error
	if c.cpu, err = processCPU(n.PID()); err != nil {
		return c, err
	}
	if c.residentMB, err = residentMB(n.PID()); err != nil {
		return c, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Settings.Admin.String()+"/metrics", nil)
	if err != nil {
		return c, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c, err
	}
	defer response.Body.Close()
	destinations := map[string]*float64{
		`hibiscus_wire_bytes{path="peers",direction="out"}`: &c.peerOutBytes,
		`hibiscus_wire_bytes{path="peers",direction="in"}`:  &c.peerInBytes,
		`hibiscus_wire_bytes{path="log",direction="both"}`:  &c.logBytes,
		`hibiscus_connections`:                              &c.connections,
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		if strings.HasPrefix(name, "hibiscus_wire_packets") {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return c, err
			}
			c.peerPackets += v
		}
		if target := destinations[name]; target != nil {
			if *target, err = strconv.ParseFloat(value, 64); err != nil {
				return c, err
			}
		}
	}
	return c, scanner.Err()
}

// processCPU returns the CPU time of a process, the sum of its user and system time.
func processCPU(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name in parentheses may contain spaces. The user and system times are fields 14 and 15 of the line.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has fewer than 15 fields")
	}
	var sum time.Duration
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ticks) * time.Second / clockTicks
	}
	return sum, nil
}

// NodeCosts are the costs of one process. Values are means over all measured processes, unless stated otherwise.
type NodeCosts struct {
	// X is the parameter that the sweep varies.
	X             float64 `json:"x"`
	CPUPercent    float64 `json:"cpu_percent"`
	MaxCPUPercent float64 `json:"max_cpu_percent"`
	// Traffic is in bytes or packets per second and includes the headers of IP, UDP and TCP.
	PeerOutBytes float64 `json:"peer_out_bytes"`
	PeerInBytes  float64 `json:"peer_in_bytes"`
	PeerPackets  float64 `json:"peer_packets"`
	// LogReaderBytes is the traffic with the log of the process that has the most, in bytes per second.
	LogReaderBytes float64 `json:"log_reader_bytes"`
	ResidentMB     float64 `json:"resident_mb"`
	MaxResidentMB  float64 `json:"max_resident_mb"`
	Connections    float64 `json:"connections"`
}

// measureNodes measures the costs of processes over a duration.
func measureNodes(ctx context.Context, x float64, nodes []*launcher.Node, duration time.Duration) (NodeCosts, error) {
	before := make([]counters, len(nodes))
	started := make([]time.Time, len(nodes))
	for i, n := range nodes {
		var err error
		if before[i], err = readCounters(ctx, n); err != nil {
			return NodeCosts{}, err
		}
		started[i] = time.Now()
	}
	select {
	case <-ctx.Done():
		return NodeCosts{}, ctx.Err()
	case <-time.After(duration):
	}
	costs := NodeCosts{X: x}
	for i, n := range nodes {
		after, err := readCounters(ctx, n)
		if err != nil {
			return NodeCosts{}, err
		}
		costs.add(before[i], after, time.Since(started[i]).Seconds(), float64(len(nodes)))
	}
	return costs, nil
}

func (c *NodeCosts) add(before, after counters, seconds, nodes float64) {
	cpu := 100 * (after.cpu - before.cpu).Seconds() / seconds
	c.CPUPercent += cpu / nodes
	c.MaxCPUPercent = max(c.MaxCPUPercent, cpu)
	c.PeerOutBytes += (after.peerOutBytes - before.peerOutBytes) / seconds / nodes
	c.PeerInBytes += (after.peerInBytes - before.peerInBytes) / seconds / nodes
	c.PeerPackets += (after.peerPackets - before.peerPackets) / seconds / nodes
	c.LogReaderBytes = max(c.LogReaderBytes, (after.logBytes-before.logBytes)/seconds)
	c.ResidentMB += after.residentMB / nodes
	c.MaxResidentMB = max(c.MaxResidentMB, after.residentMB)
	c.Connections += after.connections / nodes
}

// Slope is a line fitted to measured points by least squares.
type Slope struct {
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per_unit"`
}

// slopeOf fits a line to one value of the costs, as a function of X. The slope is 0 if all X are equal.
func slopeOf(costs []NodeCosts, value func(NodeCosts) float64) Slope {
	var meanX, meanY, covariance, variance float64
	for _, c := range costs {
		meanX += c.X / float64(len(costs))
		meanY += value(c) / float64(len(costs))
	}
	for _, c := range costs {
		covariance += (c.X - meanX) * (value(c) - meanY)
		variance += (c.X - meanX) * (c.X - meanX)
	}
	s := Slope{Base: meanY}
	if variance > 0 {
		s.PerUnit = covariance / variance
		s.Base -= s.PerUnit * meanX
	}
	return s
}

// Sweep is a series of measurements in which one parameter varies.
type Sweep struct {
	// Unit describes the parameter.
	Unit   string      `json:"unit"`
	Points []NodeCosts `json:"points"`
	// Slopes holds the fitted lines by the JSON names of the values in NodeCosts.
	Slopes map[string]Slope `json:"slopes"`
}

func newSweep(unit string, points []NodeCosts) Sweep {
	valueByName := map[string]func(NodeCosts) float64{
		"cpu_percent":      func(c NodeCosts) float64 { return c.CPUPercent },
		"peer_out_bytes":   func(c NodeCosts) float64 { return c.PeerOutBytes },
		"peer_in_bytes":    func(c NodeCosts) float64 { return c.PeerInBytes },
		"log_reader_bytes": func(c NodeCosts) float64 { return c.LogReaderBytes },
		"resident_mb":      func(c NodeCosts) float64 { return c.ResidentMB },
	}
	s := Sweep{Unit: unit, Points: slices.Clone(points), Slopes: map[string]Slope{}}
	for name, value := range valueByName {
		s.Slopes[name] = slopeOf(points, value)
	}
	return s
}
