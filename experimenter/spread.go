package experimenter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/applier"
	"hibiscusline/launcher"
)

// spreadLimit is the time after which a fleet whose ranges are not spread is given up. It is several times what a fleet
// needs on a busy machine, and ends before the time for the start of a fleet, whose error names no cause.
const spreadLimit = 30 * time.Second

// awaitSpread waits until every member of a keyed service owns its fair share of the ranges. The first members of a new
// cluster own all ranges until the others have joined. After the limit it returns an error that names a member without
// its share.
func awaitSpread(ctx context.Context, f *launcher.Fleet, limit time.Duration) error {
	const interval = 200 * time.Millisecond
	// A member that was met with half of its share counts as settled, and load decides on the rest.
	const patience = 8 * time.Second
	started := time.Now()
	for {
		share := 1.0
		if time.Since(started) > patience {
			share = 0.5
		}
		missing, err := missingShare(ctx, f, share)
		if err != nil || missing == nil {
			return err
		}
		if time.Since(started) >= limit {
			return errors.WithMessagef(missing, "ranges are not spread after %s", limit)
		}
		select {
		case <-ctx.Done():
			return errors.WithMessage(missing, ctx.Err().Error())
		case <-time.After(interval):
		}
	}
}

// missingShare says which member of a keyed service owns less than a part of its fair share, or returns nil.
func missingShare(ctx context.Context, f *launcher.Fleet, share float64) (missing, err error) {
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
						m.Name, service, owned, len(assignments), fair, movesOff(s, service))
				}
			}
		}
	})
	return missing, nil
}

// movesOff explains why no range of a service moves, if its configuration is the cause.
func movesOff(s *applier.State, service string) string {
	name := s.Configuration.Services[service].Placement
	if placement, named := s.Configuration.Placements[name]; named && placement.MaxMovesPerMinute == 0 {
		return "; max_moves_per_minute is 0 in placement " + name
	}
	return ""
}
