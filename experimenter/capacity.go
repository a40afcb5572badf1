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

// The size of section 2 of the design page, and what docs/CAPACITY.md assumes where that page is silent.
const (
	targetRegions   = 11
	targetRequests  = 71e6
	targetKeys      = 7.5e9
	targetChanges   = 14000
	targetFailures  = 28
	targetRestarts  = 1200
	targetHotKeys   = 530
	rangesPerMember = 16
	// hotKeyRecords are the records of one hot key: Split, Move and Receive to another owner and back, and two Merge.
	hotKeyRecords = 7
	// hotPeriod is how long the hottest keys stay the same.
	hotPeriod = 5 * time.Minute
	// rackMembers is the size of a rack.
	rackMembers = 20
	// logRate is the rate of appends that the log accepts, "several hundred a second".
	logRate = 300
	// configurationKB is the size of the set of configuration objects.
	configurationKB = 100
	day             = 24 * 60 * 60
)

// Capacity is the arithmetic of docs/CAPACITY.md.
type Capacity struct {
	SlopesResult
	// Per day.
	ChangeRecords, FailureRecords, RestartRecords, HotRecords, RackRecords float64
	RecordRate, RecordRateRegion                                           float64
	PerMember                                                              float64
	ZoneMembers, RegionMembers                                             float64
	ZoneRecords, ZoneTakeOverSeconds, ZoneAllSeconds                       float64

	IdleCPU, IdleMB, IdleOut, IdleIn float64
	ReaderBytes                      float64
	RecordBytes, RecordCPU           float64
	// WholeBytes are sent per byte of a configuration published whole.
	ChangeBytes, WholeBytes, WholeTotal float64
	// MemberRate is the rate of records that change members.
	MemberRate, LeaseCPU          float64
	NodeBytesOut, NodeCPU, NodeMB float64
	NodeBytesRegion               float64
	ReaderTotal, ReaderRegion     float64
	CheckpointSeconds             float64
	CheckpointBytes               float64
	LogReads, LogBytes            float64

	RequestsPerNode, EntryUs, OwnerUs, Cores, P99 float64
	MBPerConnection, MaxConnections, MeshMB       float64
	MeshRegionMB                                  float64
	KeysPerRange, StateMB                         float64
	HotRanges                                     float64
	Hops, SpreadMs                                float64
	Full, Worst                                   TableCosts
	// JSON is the output of the experiment.
	JSON string
}

// NewCapacity works the figures out.
func NewCapacity(s SlopesResult) (Capacity, error) {
	c := Capacity{SlopesResult: s}
	if len(s.Table.Points) == 0 || len(s.Tables) < 2 || len(s.Requests) == 0 || len(s.Spread) == 0 || len(s.Changes.Points) == 0 {
		return c, errors.New("the output of the experiment is not complete")
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

func (c *Capacity) records() {
	// A member that leaves and joins again: removal or Leave, new guardians for the two members that it guarded, Join,
	// two SetGuardians, and two records for each range on its way out (Move and Receive, or one Settle of a new owner) and
	// back in (Move and Receive).
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

func (c *Capacity) node() {
	full := c.Table.Points[len(c.Table.Points)-1]
	c.IdleCPU, c.IdleMB, c.IdleOut, c.IdleIn, c.ReaderBytes = full.CPUPercent, full.ResidentMB, full.PeerOutBytes, full.PeerInBytes, full.LogReaderBytes
	// The lower rates are near those of the target, and a higher rate costs less per record, since records share messages.
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
	for _, stage := range []Sweep{c.Table, c.Records, c.Configurations, c.Changes} {
		for _, p := range stage.Points {
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

// WriteCapacity writes docs/CAPACITY.md from the JSON output of the experiment slopes.
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
