package experimenter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/hasher"
	"hibiscusline/leaser"
	"hibiscusline/validator"
)

// TableSize is the size of a table of members and of the ranges that they own.
type TableSize struct {
	Members  int `json:"members"`
	Ranges   int `json:"ranges"`
	Services int `json:"services"`
	Zones    int `json:"zones"`
}

// TableCosts are the costs of a table in a process that does nothing else. Times are means over several runs.
type TableCosts struct {
	TableSize
	StateMB          float64 `json:"state_mb"`
	ResidentMB       float64 `json:"resident_mb"`
	CheckpointMB     float64 `json:"checkpoint_mb"`
	CheckpointPieces int     `json:"checkpoint_pieces"`
	EncodeMs         float64 `json:"encode_ms"`
	DecodeMs         float64 `json:"decode_ms"`
	// ApplyMs is the time to apply a record, by kind.
	ApplyMs map[string]float64 `json:"apply_ms"`
	// LeaseStepMs is the time of a step of package leaser after a change of the state.
	LeaseStepMs float64 `json:"lease_step_ms"`
	// OwnedLookupMs is the time to look up the ranges of a member.
	OwnedLookupMs float64 `json:"owned_ms"`
	// ZoneTakeOvers is the number of members of one zone. ZoneMs is the total time to apply a TakeOver of each.
	ZoneTakeOvers int     `json:"zone_takeovers"`
	ZoneMs        float64 `json:"zone_ms"`
}

// tableConfiguration returns a configuration with the services of a table.
func tableConfiguration(size TableSize) validator.Configuration {
	c := validator.Configuration{
		Services: map[string]validator.Service{},
		Ranks:    map[string]validator.Rank{"all": {Urgency: 0, Floor: 0.1, LatencyTarget: validator.Duration(time.Second), Weight: 1}},
		Policy:   validator.Policy{Operators: []string{"launcher"}},
	}
	for i := range size.Services {
		name := tableService(i)
		c.Services[name] = validator.Service{
			Keyed: true, InitialRanges: min(size.Ranges/size.Services, validator.MaxInitialRanges),
			MaxRequestTime: validator.Duration(time.Second), IdempotencyWindow: validator.Duration(time.Minute),
		}
		c.Rules = append(c.Rules, validator.Rule{Name: "rule-" + name, Service: name, Rank: "all"})
	}
	return c
}

func tableService(i int) string { return fmt.Sprintf("service-%03d", i) }

// tableState returns a state with a table of the given size, whose members are guardians of each other. All members
// have the given status; real processes don't choose draining ones as guardians.
func tableState(seed uint64, size TableSize, status applier.MemberStatus) *applier.State {
	random := rand.New(rand.NewPCG(seed, 1))
	configuration := tableConfiguration(size)
	s := &applier.State{
		Members: map[applier.MemberID]*applier.Member{}, Assignments: map[string][]applier.Assignment{},
		Configuration: &configuration,
	}
	ids := make([]applier.MemberID, size.Members)
	for i := range ids {
		ids[i] = applier.MemberID(random.Uint64() | 1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		s.Applied++
		s.Members[ids[i]] = &applier.Member{
			ID: ids[i], Name: fmt.Sprintf("node-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%size.Zones), Service: tableService(i % size.Services),
			Address: address, Admin: address, Slots: 12, Fenced: true, Status: status, Joined: s.Applied, GuardianVersion: s.Applied,
		}
	}
	for i, id := range ids {
		s.Members[id].Guardians = []applier.MemberID{ids[(i+1)%len(ids)], ids[(i+2*size.Zones+2)%len(ids)]}
	}
	for service := range size.Services {
		ranges := hasher.Divide(size.Ranges / size.Services)
		assignments := make([]applier.Assignment, len(ranges))
		for i, r := range ranges {
			owner := ids[(service+i*size.Services)%len(ids)]
			assignments[i] = applier.Assignment{Range: r, Owner: owner, Epoch: s.Applied, Cause: applier.Moved}
		}
		s.Assignments[tableService(service)] = assignments
	}
	s.Version = s.Applied
	return s
}

// MeasureTable measures the costs of a table in this process, which should have just started: resident memory includes
// what the process used before.
func MeasureTable(seed uint64, size TableSize) (TableCosts, error) {
	costs := TableCosts{TableSize: size, ApplyMs: map[string]float64{}}
	encoded, err := tableState(seed, size, applier.Active).Encode()
	if err != nil {
		return costs, err
	}
	// The encoder's pooled buffers survive the first collection and are freed by the second one.
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	before := heapBytes()
	start := time.Now()
	s, err := applier.DecodeState(encoded)
	if err != nil {
		return costs, err
	}
	costs.DecodeMs = millisecondsPerRun(start, 1)
	costs.CheckpointMB = megabytes(len(encoded))
	debug.FreeOSMemory()
	debug.FreeOSMemory()
	costs.StateMB = megabytes(int(heapBytes() - before))
	runtime.KeepAlive(encoded)
	encoded = nil
	debug.FreeOSMemory()
	if costs.ResidentMB, err = residentMB(os.Getpid()); err != nil {
		return costs, err
	}
	start = time.Now()
	pieces, err := s.CheckpointRecords("id")
	if err != nil {
		return costs, err
	}
	costs.EncodeMs, costs.CheckpointPieces = millisecondsPerRun(start, 1), len(pieces)
	if err := costs.measureOperations(s); err != nil {
		return costs, err
	}
	return costs, nil
}

// measureOperations measures lookups, a lease step and the application of records. It needs a service with at least 42
// members.
func (c *TableCosts) measureOperations(s *applier.State) error {
	members := s.MembersOf(tableService(0))
	const runs = 20
	if len(members) < 2*runs+2 {
		return errors.Errorf("the first service has %d members; allowed: 42 or more", len(members))
	}
	self := members[0].ID
	c.OwnedLookupMs = meanMilliseconds(runs, func(int) { s.Owned(self) })
	machine := leaser.New(leaser.Config{Self: self})
	c.LeaseStepMs = meanMilliseconds(runs, func(i int) {
		machine.Step(time.Duration(i)*time.Millisecond, leaser.StateApplied{State: s})
	})
	apply := func(r applier.Record) error {
		offset := s.Applied + 1
		if result := s.Apply(offset, applier.Envelope{ID: strconv.FormatUint(uint64(offset), 10), Record: r}); !result.Accepted {
			return errors.Errorf("%s was rejected: %s", result.Kind, result.Reason)
		}
		return nil
	}
	records := map[string]func(i int) applier.Record{
		"join": func(i int) applier.Record {
			m := *members[0]
			m.ID = applier.MemberID(1000 + i)
			return applier.Join{Member: m}
		},
		"move": func(i int) applier.Record {
			from := members[1+i]
			a := s.Owned(from.ID)[0]
			return applier.Move{
				Service: from.Service, From: from.ID, To: members[0].ID,
				Ranges: []applier.RangeEpoch{{Range: a.Range, Epoch: a.Epoch}},
			}
		},
		"split": func(i int) applier.Record {
			a := s.Assignments[members[0].Service][10*i]
			return applier.Split{Service: members[0].Service, Range: applier.RangeEpoch{Range: a.Range, Epoch: a.Epoch}, Position: a.Range.Low + 5}
		},
		"propose": func(i int) applier.Record {
			return applier.Propose{Author: "launcher", Base: s.Version, Configuration: *s.Configuration}
		},
		"set_guardians": func(i int) applier.Record {
			return applier.SetGuardians{Member: members[i].ID, Version: members[i].GuardianVersion, Guardians: members[i].Guardians}
		},
		"takeover": func(i int) applier.Record { return newTakeOver(s, members[runs+i]) },
	}
	for _, name := range []string{"set_guardians", "join", "move", "split", "propose", "takeover"} {
		var failed error
		c.ApplyMs[name] = meanMilliseconds(runs, func(i int) {
			if err := apply(records[name](i)); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return failed
		}
	}
	lost := slices.DeleteFunc(s.MembersOf(""), func(m *applier.Member) bool { return m.Zone != "zone-01" })
	var failed error
	c.ZoneTakeOvers = len(lost)
	c.ZoneMs = meanMilliseconds(len(lost), func(i int) {
		if err := apply(newTakeOver(s, lost[i])); err != nil {
			failed = err
		}
	}) * float64(len(lost))
	return failed
}

func newTakeOver(s *applier.State, m *applier.Member) applier.Record {
	return applier.TakeOver{Member: m.ID, Version: m.GuardianVersion, AttestedBy: m.Guardians}
}

// meanMilliseconds returns the mean time of several calls.
func meanMilliseconds(runs int, f func(i int)) float64 {
	start := time.Now()
	for i := range runs {
		f(i)
	}
	return millisecondsPerRun(start, runs)
}

func millisecondsPerRun(start time.Time, runs int) float64 {
	return time.Since(start).Seconds() * 1000 / float64(runs)
}

func megabytes(bytes int) float64 { return float64(bytes) / (1 << 20) }

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kib, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kib / 1024, err
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmRSS line", pid)
}
