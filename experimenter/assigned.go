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

// sampleInterval is the time between two samples of the keys' owners.
const sampleInterval = 250 * time.Millisecond

// assignedLoad computes the load of each owner from the rates of the streams and the assignment of their keys. Unlike
// counts of requests, it doesn't depend on random arrivals.
type assignedLoad struct {
	session *session
	streams []generator.Stream
	// positions holds the hash positions of the keys of each stream.
	positions [][]hasher.Position
	samples   []loadSample
}

type loadSample struct {
	// at is the time since the start of the load.
	at time.Duration
	// imbalance is the highest load of a member relative to the mean, and optimum its lowest possible value: a key
	// can't be divided between members.
	imbalance, optimum float64
}

func newAssignedLoad(s *session, streams []generator.Stream) *assignedLoad {
	a := &assignedLoad{session: s, streams: streams}
	for _, stream := range streams {
		positions := make([]hasher.Position, stream.KeyCount)
		for i := range positions {
			positions[i] = hasher.KeyPosition(fmt.Sprintf("%s%d", stream.KeyPrefix, i))
		}
		a.positions = append(a.positions, positions)
	}
	return a
}

// sampleUntilEnd takes samples until the load or the context ends.
func (a *assignedLoad) sampleUntilEnd(ctx context.Context) error {
	for at := time.Duration(0); at < a.session.length; at += sampleInterval {
		if !a.session.waitFor(ctx, float64(at)/float64(a.session.length)) {
			return nil
		}
		state, err := a.session.fleet.State(ctx)
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
	members := float64(len(s.MembersOf(a.session.customer.stock)))
	return loadSample{at: at, imbalance: ratio(highest*members, sum), optimum: max(1, ratio(hottest*members, sum))}
}

// setFigures records figures of the part of the load between two fractions of its duration: the imbalance and the
// optimum at its end, the share of samples above the target, and the seconds after which the imbalance stayed within
// the target, or -1 if it didn't. The target is imbalanceTarget, or the optimum if that is higher.
func (a *assignedLoad) setFigures(name string, from, to float64) {
	begin := time.Duration(from * float64(a.session.length))
	end := time.Duration(to * float64(a.session.length))
	samples := slices.DeleteFunc(slices.Clone(a.samples), func(s loadSample) bool { return s.at < begin || s.at >= end })
	if len(samples) == 0 {
		return
	}
	aboveCount, secondsToTarget := 0, 0.0
	for i, s := range samples {
		if s.imbalance <= max(imbalanceTarget, s.optimum) {
			continue
		}
		aboveCount++
		secondsToTarget = -1
		if i+1 < len(samples) {
			secondsToTarget = (samples[i+1].at - begin).Seconds()
		}
	}
	last := samples[len(samples)-1]
	a.session.setFigure("assigned_end_of_"+name, last.imbalance)
	a.session.setFigure("optimum_"+name, last.optimum)
	a.session.setFigure("above_share_"+name, ratio(float64(aboveCount), float64(len(samples))))
	a.session.setFigure("seconds_to_target_"+name, secondsToTarget)
}

// expectedRandomImbalance returns the expected ratio of the highest count to the mean count when requests arrive at
// random and the load is perfectly even. The highest of the normally distributed counts is estimated by Blom's
// approximation.
func expectedRandomImbalance(servers int, requests float64) float64 {
	if servers < 2 || requests <= 0 {
		return 1
	}
	quantile := (float64(servers) - 0.375) / (float64(servers) + 0.25)
	return 1 + math.Sqrt2*math.Erfinv(2*quantile-1)*math.Sqrt(float64(servers)/requests)
}
