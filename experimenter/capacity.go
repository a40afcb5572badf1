package experimenter

import (
	_ "embed"
	"encoding/json"
	"io"
	"math"
	"text/template"
	"time"

	"github.com/pkg/errors"
)

//go:embed capacity.md.tmpl
var capacityTemplate string

// Target size from section 2 of docs/design.md, and the assumptions of docs/CAPACITY.md where that page gives no
// number.
const (
	targetRegions = 11
	// targetRequests is in requests per second.
	targetRequests = 71e6
	targetKeys     = 7.5e9
	// targetChanges, targetFailures and targetRestarts are the configuration changes, and the failures and restarts of
	// members, per day.
	targetChanges  = 14000
	targetFailures = 28
	targetRestarts = 1200
	// targetHotKeys is the number of keys that are hot at the same time.
	targetHotKeys   = 530
	rangesPerMember = 16
	// hotKeyRecords is the number of records for one hot key: a Split, a Move and a Receive to another owner, a Move
	// and a Receive back, and two Merges.
	hotKeyRecords = 7
	// hotPeriod is the time after which other keys become the hottest ones.
	hotPeriod = 5 * time.Minute
	// rackMembers is the number of members in a rack.
	rackMembers = 20
	// logRate is the number of appends per second that the log accepts. Section 2 says "several hundred a second".
	logRate = 300
	// configurationKB is the size of all configuration objects.
	configurationKB = 100
	// day is in seconds.
	day = 24 * 60 * 60
)

// Capacity holds the values shown in docs/CAPACITY.md: the measured slopes and the estimates computed from them for the
// target size. The template capacity.md.tmpl refers to the fields by name. CPU is in percent of a core, memory in MB,
// and traffic in bytes per second.
type Capacity struct {
	SlopesResult
	// Records appended to the log per day, by cause.
	ChangeRecords, FailureRecords, RestartRecords, HotRecords, RackRecords float64
	// RecordRate is the sum in records per second, RecordRateRegion the same with one log stream for each region.
	RecordRate, RecordRateRegion float64
	// PerMember is the number of records when a member leaves and joins again.
	PerMember                  float64
	ZoneMembers, RegionMembers float64
	// ZoneRecords is the number of records after the loss of a zone. Appending them takes ZoneAllSeconds, of which the
	// TakeOver records take ZoneTakeOverSeconds.
	ZoneRecords, ZoneTakeOverSeconds, ZoneAllSeconds float64

	// Costs of an idle process with the largest table. ReaderBytes is the traffic of a log reader with the log.
	IdleCPU, IdleMB, IdleOut, IdleIn float64
	ReaderBytes                      float64
	// RecordBytes and RecordCPU are the additional costs of each record per second.
	RecordBytes, RecordCPU float64
	// ChangeBytes is the traffic of one rule change per second. WholeBytes is the number of bytes sent for each byte of
	// a configuration that is published as a whole, WholeTotal the traffic if all changes are published in this way.
	ChangeBytes, WholeBytes, WholeTotal float64
	// MemberRate is the number of records per second that change members, LeaseCPU their cost in package leaser.
	MemberRate, LeaseCPU float64
	// Costs of a process at RecordRate. NodeMB is the highest resident memory of any process with a table, and
	// NodeBytesRegion is NodeBytesOut with one log stream for each region.
	NodeBytesOut, NodeCPU, NodeMB float64
	NodeBytesRegion               float64
	// ReaderTotal is the traffic of a log reader with peers and the log, ReaderRegion the same with one log stream for
	// each region.
	ReaderTotal, ReaderRegion float64
	// CheckpointSeconds is the time between two checkpoints.
	CheckpointSeconds float64
	CheckpointBytes   float64
	// LogReads is the number of reads per second that the log serves.
	LogReads, LogBytes float64

	// RequestsPerNode is the number of requests per second at each process, Cores the number of cores that they take.
	// EntryUs and OwnerUs are in microseconds of CPU time per request, P99 is in milliseconds.
	RequestsPerNode, EntryUs, OwnerUs, Cores, P99 float64
	// MaxConnections is the number of connections that fit into the memory limit. MeshMB and MeshRegionMB are the
	// memory of connections to all members, and to all members of a region.
	MBPerConnection, MaxConnections, MeshMB float64
	MeshRegionMB                            float64
	KeysPerRange, StateMB                   float64
	// HotRanges is the number of ranges that hot keys add.
	HotRanges float64
	// Hops is the number of peer-to-peer hops from the log readers to all members, SpreadMs the longest measured time
	// until a configuration is in force everywhere.
	Hops, SpreadMs float64
	// Full is the largest table with its members in 50 services, Worst the same with all of them in one service.
	Full, Worst TableCosts
	// JSON is the indented output of the experiment.
	JSON string
}

// NewCapacity computes the estimates from the output of the experiment slopes. It returns an error if the output lacks
// measurements.
func NewCapacity(s SlopesResult) (Capacity, error) {
	c := Capacity{SlopesResult: s}
	if len(s.Table.Points) == 0 || len(s.Tables) < 2 || len(s.Requests) == 0 || len(s.Spread) == 0 || len(s.Changes.Points) == 0 {
		return c, errors.New("output of the experiment slopes lacks table, tables (2), requests, spread or changes")
	}
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return c, err
	}
	c.JSON = string(data)
	c.records()
	c.node()
	c.requests()
	return c, nil
}

// records computes the load on the log.
func (c *Capacity) records() {
	// When a member leaves and joins again: its removal or Leave, SetGuardians for the two members that it guarded,
	// Join, two SetGuardians, and for each range at most two records when it leaves (Move and Receive, or one Settle of
	// a new owner) and two when it comes back (Move and Receive).
	c.PerMember = 1 + 2 + 1 + 2 + 4*rangesPerMember
	c.ChangeRecords = 2 * targetChanges
	c.FailureRecords = targetFailures * c.PerMember
	c.RestartRecords = targetRestarts * c.PerMember
	c.RackRecords = rackMembers * c.PerMember / 7
	c.HotRecords = hotKeyRecords * targetHotKeys * day / hotPeriod.Seconds()
	c.RecordRate = (c.ChangeRecords + c.FailureRecords + c.RestartRecords + c.RackRecords + c.HotRecords) / day
	c.RecordRateRegion = c.RecordRate / targetRegions
	c.ZoneMembers = math.Ceil(float64(targetMembers) / targetZones)
	c.RegionMembers = targetMembers / targetRegions
	c.ZoneTakeOverSeconds = c.ZoneMembers / logRate
	c.ZoneRecords = c.ZoneMembers * (1 + 2 + rangesPerMember)
	c.ZoneAllSeconds = c.ZoneRecords / logRate
}

// node computes the costs of a process that serves no requests.
func (c *Capacity) node() {
	full := c.Table.Points[len(c.Table.Points)-1]
	c.IdleCPU, c.IdleMB, c.IdleOut, c.IdleIn, c.ReaderBytes = full.CPUPercent, full.ResidentMB, full.PeerOutBytes, full.PeerInBytes, full.LogReaderBytes
	// The two lowest rates are near RecordRate. Higher rates cost less per record, since records then share messages.
	low, next := c.Records.Points[0], c.Records.Points[1]
	c.RecordBytes = (next.PeerOutBytes - low.PeerOutBytes) / (next.X - low.X)
	c.RecordCPU = (next.CPUPercent - low.CPUPercent) / (next.X - low.X)
	c.WholeBytes = c.Configurations.Slopes["peer_out_bytes"].PerUnit / 1000
	c.WholeTotal = c.WholeBytes * configurationKB * 1000 * targetChanges / day
	changes := c.Changes.Points[len(c.Changes.Points)-1]
	c.ChangeBytes = changes.PeerOutBytes - full.PeerOutBytes
	c.NodeBytesOut = c.IdleOut + c.RecordRate*c.RecordBytes
	c.NodeBytesRegion = c.IdleOut + c.RecordRateRegion*c.RecordBytes
	c.NodeCPU = c.IdleCPU + c.RecordRate*c.RecordCPU
	for _, sweep := range []Sweep{c.Table, c.Records, c.Configurations, c.Changes} {
		for _, p := range sweep.Points {
			c.NodeMB = max(c.NodeMB, p.MaxResidentMB)
		}
	}
	c.Full, c.Worst = c.Tables[len(c.Tables)-2], c.Tables[len(c.Tables)-1]
	c.CheckpointSeconds = min(0.05*float64(c.Full.Ranges), float64(c.Full.Ranges)/4/c.RecordRate)
	c.CheckpointBytes = c.Full.CheckpointMB * (1 << 20) / c.CheckpointSeconds
	c.ReaderTotal = c.NodeBytesOut + c.ReaderBytes + c.CheckpointBytes + c.RecordRate*c.Records.Slopes["log_reader_bytes"].PerUnit
	c.ReaderRegion = c.IdleOut + c.ReaderBytes + c.RecordRateRegion*(c.RecordBytes+c.Records.Slopes["log_reader_bytes"].PerUnit) +
		c.Tables[0].CheckpointMB*(1<<20)/(10*60)
	c.LogReads = 2 * targetZones * 4
	c.LogBytes = 2 * targetZones * (c.ReaderBytes + c.CheckpointBytes)
	c.MemberRate = (targetFailures + targetRestarts) * (1 + 2 + 1 + 2) / float64(day)
	c.LeaseCPU = c.MemberRate * c.Full.LeaseStepMs / 1000 * 100
	c.KeysPerRange = targetKeys / (rangesPerMember * targetMembers)
	c.StateMB = c.Full.StateMB
	c.HotRanges = 2 * targetHotKeys
	c.Hops = math.Log(targetMembers/(2*targetZones)) / math.Log(4)
	for _, s := range c.Spread {
		c.SpreadMs = max(c.SpreadMs, s.MaxMs)
	}
}

// requests computes the costs of requests and of the connections between all processes.
func (c *Capacity) requests() {
	last := c.Requests[len(c.Requests)-1]
	c.EntryUs, c.OwnerUs, c.P99 = last.EntryUs, last.OwnerUs, last.P99Ms
	c.RequestsPerNode = targetRequests / targetMembers
	c.Cores = c.RequestsPerNode * (c.EntryUs + c.OwnerUs) / 1e6
	c.MBPerConnection = c.Mesh.Slopes["resident_mb"].PerUnit
	c.MaxConnections = (limitMB - c.IdleMB) / c.MBPerConnection
	c.MeshMB = targetMembers * c.MBPerConnection
	c.MeshRegionMB = c.RegionMembers * c.MBPerConnection
}

// WriteCapacity writes the page docs/CAPACITY.md from the JSON output of the experiment slopes. It returns an error if
// the output is incomplete.
func WriteCapacity(w io.Writer, output []byte) error {
	var s SlopesResult
	if err := json.Unmarshal(output, &s); err != nil {
		return errors.Wrap(err, "output of the experiment slopes")
	}
	c, err := NewCapacity(s)
	if err != nil {
		return err
	}
	t, err := template.New("capacity").Funcs(template.FuncMap{
		"within": func(value, limit float64) string {
			if value <= limit {
				return "met"
			}
			return "**not met**"
		},
	}).Parse(capacityTemplate)
	if err != nil {
		return err
	}
	return t.Execute(w, c)
}
