package experimenter

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// measureRequests measures requests at several rates between two processes: the entry, whose backend server has another
// service, and the owner of all keys.
func (r slopesRun) measureRequests(ctx context.Context, s *SlopesResult) error {
	c := r.configuration()
	keyed := tableService(0)
	f, err := launcher.Start(ctx, launcher.Config{
		Command: r.Command, Seed: r.Seed, Zones: r.zones()[:2], Configuration: c,
		Services: []launcher.Service{
			{Name: keyed, Servers: 1, Slots: 64, Connections: 200, Settings: emulator.ServerSettings{ServiceTime: validator.Duration(time.Millisecond)}},
			{Name: idleService, Servers: 1, Slots: 12, Connections: 110},
		},
	})
	if err != nil {
		return err
	}
	for _, rate := range []float64{250, 500, 1000, 2000} {
		cost, err := r.measureRequestRate(ctx, f, keyed, rate)
		if err != nil {
			return errors.WithMessage(err, fmt.Sprintf("stop fleet: %v", f.Stop()))
		}
		s.Requests = append(s.Requests, cost)
	}
	return f.Stop()
}

func (r slopesRun) measureRequestRate(
	ctx context.Context, f *launcher.Fleet, service string, rate float64,
) (RequestCost, error) {
	cost := RequestCost{Rate: rate}
	var before [2]time.Duration
	for i, n := range f.Nodes {
		var err error
		if before[i], err = processCPU(n.PID()); err != nil {
			return cost, err
		}
	}
	report, err := generator.Run(ctx, generator.Config{
		Entries: []netip.AddrPort{f.Nodes[1].Settings.Listen}, Duration: validator.Duration(r.pointDuration),
		Seed:    r.Seed,
		Streams: []generator.Stream{{Name: "all", Rank: "all", Rate: rate, Service: service, Path: "/", KeyCount: 1000, KeyPrefix: "k"}},
	})
	if err != nil {
		return cost, err
	}
	var used [2]float64
	for i, n := range f.Nodes {
		after, err := processCPU(n.PID())
		if err != nil {
			return cost, err
		}
		used[i] = float64((after - before[i]).Microseconds())
	}
	rank := report.Ranks[0]
	cost.Answered, cost.P99Ms = float64(rank.Answered), rank.Latency.P99
	cost.OwnerUs, cost.EntryUs = used[0]/cost.Answered, used[1]/cost.Answered
	return cost, nil
}
