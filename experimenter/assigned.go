package experimenter

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"hibiscusline/applier"
	"hibiscusline/generator"
	"hibiscusline/hasher"
)

// sampleInterval is the time between two looks at the owners of the keys.
const sampleInterval = 250 * time.Millisecond

// assignedLoad is the load that the owners of the keys have by the rates of the streams, without the chance of arrivals.
type assignedLoad struct {
	stage   *stage
	streams []generator.Stream
	// positions holds the keys of each stream.
	positions [][]hasher.Position
	samples   []loadSample
}

type loadSample struct {
	at time.Duration
	// imbalance is the highest load of a member relative to the mean, optimum the lowest that is possible with whole keys.
	imbalance, optimum float64
}

func newAssignedLoad(s *stage, streams []generator.Stream) *assignedLoad {
	a := &assignedLoad{stage: s, streams: streams}
	for _, stream := range streams {
		positions := make([]hasher.Position, stream.KeyCount)
		for i := range positions {
			positions[i] = hasher.KeyPosition(fmt.Sprintf("%s%d", stream.KeyPrefix, i))
		}
		a.positions = append(a.positions, positions)
	}
	return a
}

// watch takes samples until the load ends.
func (a *assignedLoad) watch(ctx context.Context) error {
	for at := time.Duration(0); at < a.stage.length; at += sampleInterval {
		if !a.stage.until(ctx, float64(at)/float64(a.stage.length)) {
			return nil
		}
		state, err := a.stage.fleet.State(ctx)
		if err != nil {
			return err
		}
		state.View(func(s *applier.State) { a.samples = append(a.samples, a.sample(at, s)) })
	}
	return nil
}

func (a *assignedLoad) sample(at time.Duration, s *applier.State) loadSample {
	rates := map[applier.MemberID]float64{}
	sum, hottest := 0.0, 0.0
	for i, stream := range a.streams {
		if at < stream.Start.Value() || stream.Stop > 0 && at >= stream.Stop.Value() {
			continue
		}
		rate := stream.Rate / float64(stream.KeyCount)
		sum, hottest = sum+stream.Rate, max(hottest, rate)
		for _, p := range a.positions[i] {
			owner, _ := s.Lookup(stream.Service, p)
			rates[owner.Owner] += rate
		}
	}
	highest := 0.0
	for _, rate := range rates {
		highest = max(highest, rate)
	}
	members := float64(len(s.MembersOf(a.stage.customer.stock)))
	return loadSample{at: at, imbalance: ratio(highest*members, sum), optimum: max(1, ratio(hottest*members, sum))}
}

// figures sets, for the part of the load between two shares of its time, the imbalance and the optimum at its end, the
// share of the time above the target, and the time until the imbalance stayed within the target (or the optimum, if that is
// higher), which is -1 if it never did.
func (a *assignedLoad) figures(name string, from, to float64) {
	begin := time.Duration(from * float64(a.stage.length))
	end := time.Duration(to * float64(a.stage.length))
	samples := slices.DeleteFunc(slices.Clone(a.samples), func(s loadSample) bool { return s.at < begin || s.at >= end })
	if len(samples) == 0 {
		return
	}
	above, reached := 0, 0.0
	for i, s := range samples {
		if s.imbalance <= max(imbalanceTarget, s.optimum) {
			continue
		}
		above++
		reached = -1
		if i+1 < len(samples) {
			reached = (samples[i+1].at - begin).Seconds()
		}
	}
	last := samples[len(samples)-1]
	a.stage.set("assigned_end_of_"+name, last.imbalance)
	a.stage.set("optimum_"+name, last.optimum)
	a.stage.set("above_share_"+name, ratio(float64(above), float64(len(samples))))
	a.stage.set("seconds_to_target_"+name, reached)
}

// chanceImbalance is the ratio that is to be expected of random counts when the load is perfectly even: the highest of
// some normal deviates, by Blom's approximation.
func chanceImbalance(servers int, total float64) float64 {
	if servers < 2 || total <= 0 {
		return 1
	}
	quantile := (float64(servers) - 0.375) / (float64(servers) + 0.25)
	return 1 + math.Sqrt2*math.Erfinv(2*quantile-1)*math.Sqrt(float64(servers)/total)
}
