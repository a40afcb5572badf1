package experimenter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/launcher"
)

// fairShareTimeout limits the wait for an even distribution of ranges in a new fleet. It is several times what a fleet
// needs on a busy machine, and shorter than the timeout for the start of a fleet, whose error wouldn't name the cause.
const fairShareTimeout = 30 * time.Second

// awaitFairShares waits until every member of a keyed service owns its fair share of the ranges. In a new fleet, the
// first members own all ranges until the others have joined. If this takes longer than the limit, it returns an error
// that names a member without its share.
func awaitFairShares(ctx context.Context, f *launcher.Fleet, limit time.Duration) error {
	const interval = 200 * time.Millisecond
	// After this time, half of the fair share is enough, since ranges are then also placed by load.
	const fullShareWait = 8 * time.Second
	started := time.Now()
	for {
		share := 1.0
		if time.Since(started) > fullShareWait {
			share = 0.5
		}
		missing, err := findMissingShare(ctx, f, share)
		if err != nil || missing == nil {
			return err
		}
		if time.Since(started) >= limit {
			return errors.WithMessagef(missing, "ranges are not evenly distributed after %s", limit)
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(missing, ctx.Err().Error())
		case <-time.After(interval):
		}
	}
}

// findMissingShare returns an error as missing that names a member of a keyed service with less than the given part of
// its fair share, or nil if there is none.
func findMissingShare(ctx context.Context, f *launcher.Fleet, share float64) (missing, err error) {
	state, err := f.State(ctx)
	if err != nil {
		return nil, err
	}
	state.View(func(s *applier.State) {
		for service, assignments := range s.Assignments {
			members := s.MembersOf(service)
			for _, m := range members {
				fair := len(assignments) / len(members)
				if owned := len(s.Owned(m.ID)); owned < int(share*float64(fair)) {
					missing = errors.Errorf("member %s of service %s owns %d of %d ranges; its fair share is %d%s",
						m.Name, service, owned, len(assignments), fair, explainDisabledMoves(s, service))
				}
			}
		}
	})
	return missing, nil
}

// explainDisabledMoves returns a suffix for an error message if the configuration of a service disables moves of
// ranges.
func explainDisabledMoves(s *applier.State, service string) string {
	name := s.Configuration.Services[service].Placement
	if placement, named := s.Configuration.Placements[name]; named && placement.MaxMovesPerMinute == 0 {
		return "; max_moves_per_minute is 0 in placement " + name
	}
	return ""
}
