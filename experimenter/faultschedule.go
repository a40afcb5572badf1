package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one entry of a schedule.
type fault struct {
	Kind string `json:"kind"`
	// Node is the index of the process that is hit, where one is.
	Node int `json:"node"`
	// At and For are in milliseconds since the start of the load.
	At  int64 `json:"at_ms"`
	For int64 `json:"for_ms"`
	// Mutual means that two processes that guarded each other were lost at once, which an operator has to resolve.
	Mutual bool `json:"mutual,omitempty"`
	// Guardians are the indices of the processes that guarded a lost owner.
	Guardians []int  `json:"guardians,omitempty"`
	Result    string `json:"result,omitempty"`

	slot int
}

func (f *fault) begin() time.Duration { return time.Duration(f.At) * time.Millisecond }
func (f *fault) end() time.Duration   { return time.Duration(f.At+f.For) * time.Millisecond }

// Kinds of faults.
const (
	faultKill         = "kill"
	faultFreeze       = "freeze"
	faultCutLog       = "cut_from_log"
	faultCutPeers     = "cut_from_peers"
	faultCutBoth      = "cut_from_both"
	faultOneWay       = "cut_one_way"
	faultLogDown      = "log_down"
	faultLogSlow      = "log_slow"
	faultLogLoses     = "log_loses_answers"
	faultLogTrims     = "log_trims"
	faultGuardian     = "guardian_killed"
	faultServerCrash  = "server_crash"
	faultServerFreeze = "server_freeze"
	faultServerDrain  = "server_drain"
	faultMove         = "planned_move"
	faultRolling      = "rolling_restart"
	faultRace         = "racing_configurations"
	faultPoison       = "poison_request"
	faultLossy        = "lossy_network"
)

// slotLength is the time for one fault, or two at once, with the recovery.
const slotLength = 7 * time.Second

var (
	faultKinds = []string{
		faultKill, faultFreeze, faultCutLog, faultCutPeers, faultCutBoth, faultOneWay, faultLogDown, faultLogSlow,
		faultLogLoses, faultLogTrims, faultGuardian, faultServerCrash, faultServerFreeze, faultServerDrain, faultMove,
		faultRolling, faultRace, faultPoison, faultLossy,
	}
	// lonely faults are judged by themselves, so no second one comes at the same time.
	lonely = []string{faultRolling, faultPoison, faultServerFreeze, faultServerCrash}
)

// schedule draws the faults of a run. Every third slot has two at once, and every fifth the same one twice. Kinds repeat
// only when all have been used.
func schedule(seed uint64, duration time.Duration, nodes int) []*fault {
	random := rand.New(rand.NewPCG(seed, 77))
	var faults []*fault
	var left []string
	draw := func() string {
		if len(left) == 0 {
			left = slices.Clone(faultKinds)
			random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		}
		kind := left[0]
		left = left[1:]
		return kind
	}
	for slot := 0; time.Duration(slot+1)*slotLength <= duration; slot++ {
		start := time.Duration(slot)*slotLength + 500*time.Millisecond
		first := &fault{Kind: draw(), Node: random.IntN(nodes), slot: slot, At: start.Milliseconds(), For: 1500 + random.Int64N(2000)}
		faults = append(faults, first)
		if slices.Contains(lonely, first.Kind) {
			continue
		}
		second := &fault{Node: (first.Node + 1 + random.IntN(nodes-1)) % nodes, slot: slot, At: first.At + random.Int64N(800), For: 1500 + random.Int64N(2000)}
		switch {
		case slot%5 == 4:
			second.Kind = first.Kind
		case slot%3 == 2:
			second.Kind = draw()
			for slices.Contains(lonely, second.Kind) {
				left = append(left, second.Kind)
				second.Kind = draw()
			}
		default:
			continue
		}
		faults = append(faults, second)
	}
	return faults
}
