package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one entry of a schedule.
type fault struct {
	Kind string `json:"kind"`
	// Node is the index of the affected process, for faults that affect a single process.
	Node int `json:"node"`
	// AtMs is the start of the fault, in milliseconds since the start of the load, and ForMs its duration.
	AtMs  int64 `json:"at_ms"`
	ForMs int64 `json:"for_ms"`
	// Mutual means that two processes that guarded each other were lost at the same time. Only an operator can resolve
	// this.
	Mutual bool `json:"mutual,omitempty"`
	// Guardians are the indices of the processes that guarded a lost owner.
	Guardians []int `json:"guardians,omitempty"`
	// Result describes the effect of the fault in plain text.
	Result string `json:"result,omitempty"`

	// slot is the index of the fault's time slot of slotDuration.
	slot int
}

func (f *fault) begin() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }
func (f *fault) end() time.Duration   { return time.Duration(f.AtMs+f.ForMs) * time.Millisecond }

// Kinds of faults.
const (
	faultKill                 = "kill"
	faultFreeze               = "freeze"
	faultCutLog               = "cut_from_log"
	faultCutPeers             = "cut_from_peers"
	faultCutBoth              = "cut_from_both"
	faultCutOneWay            = "cut_one_way"
	faultLogDown              = "log_down"
	faultLogSlow              = "log_slow"
	faultLogLosesAnswers      = "log_loses_answers"
	faultLogTrims             = "log_trims"
	faultGuardianKilled       = "guardian_killed"
	faultServerCrash          = "server_crash"
	faultServerFreeze         = "server_freeze"
	faultServerDrain          = "server_drain"
	faultPlannedMove          = "planned_move"
	faultRollingRestart       = "rolling_restart"
	faultRacingConfigurations = "racing_configurations"
	faultPoison               = "poison_request"
	faultLossyNetwork         = "lossy_network"
)

// slotDuration is the time for one fault, or two at the same time, and the recovery from them.
const slotDuration = 7 * time.Second

var (
	faultKinds = []string{
		faultKill, faultFreeze, faultCutLog, faultCutPeers, faultCutBoth, faultCutOneWay, faultLogDown, faultLogSlow,
		faultLogLosesAnswers, faultLogTrims, faultGuardianKilled, faultServerCrash, faultServerFreeze,
		faultServerDrain, faultPlannedMove, faultRollingRestart, faultRacingConfigurations,
		faultPoison, faultLossyNetwork,
	}
	// exclusiveFaults are measured in isolation, so no second fault starts in their slot.
	exclusiveFaults = []string{faultRollingRestart, faultPoison, faultServerFreeze, faultServerCrash}
)

// drawSchedule draws the faults of a run. Every third slot has two faults, and every fifth has two of the same kind,
// unless the first one is exclusive. A kind is drawn again only after all others have been drawn.
func drawSchedule(seed uint64, duration time.Duration, nodes int) []*fault {
	random := rand.New(rand.NewPCG(seed, 77))
	var faults []*fault
	var remaining []string
	draw := func() string {
		if len(remaining) == 0 {
			remaining = slices.Clone(faultKinds)
			random.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
		}
		kind := remaining[0]
		remaining = remaining[1:]
		return kind
	}
	for slot := 0; time.Duration(slot+1)*slotDuration <= duration; slot++ {
		start := time.Duration(slot)*slotDuration + 500*time.Millisecond
		first := &fault{
			Kind: draw(), Node: random.IntN(nodes), slot: slot, AtMs: start.Milliseconds(),
			ForMs: 1500 + random.Int64N(2000),
		}
		faults = append(faults, first)
		if slices.Contains(exclusiveFaults, first.Kind) {
			continue
		}
		second := &fault{
			Node: (first.Node + 1 + random.IntN(nodes-1)) % nodes, slot: slot, AtMs: first.AtMs + random.Int64N(800),
			ForMs: 1500 + random.Int64N(2000),
		}
		switch {
		case slot%5 == 4:
			second.Kind = first.Kind
		case slot%3 == 2:
			second.Kind = draw()
			for slices.Contains(exclusiveFaults, second.Kind) {
				remaining = append(remaining, second.Kind)
				second.Kind = draw()
			}
		default:
			continue
		}
		faults = append(faults, second)
	}
	return faults
}
