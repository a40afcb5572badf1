package experimenter

import (
	"context"
	"fmt"
	"time"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// prepare returns a function that fills the log with a checkpoint of a table whose members are draining, so that the real
// processes choose each other as guardians.
func (r slopesRun) prepare(members int) func(*emulator.Log, string) error {
	return func(l *emulator.Log, stream string) error {
		size := TableSize{Members: members, Ranges: 16 * members, Services: max(1, members/220), Zones: targetZones}
		state := tableState(r.Seed, size, applier.Draining)
		state.Configuration.Services[idleService] = r.configuration().Services[idleService]
		state.Configuration.Rules = append(state.Configuration.Rules, validator.Rule{Name: "idle", Service: idleService, Rank: "all"})
		pieces, err := state.Checkpoints("table")
		if err != nil {
			return err
		}
		for range state.Applied {
			l.Append(stream, []byte{0})
		}
		for _, piece := range pieces {
			data, err := applier.Encode(appender.NewEnvelope(piece))
			if err != nil {
				return err
			}
			l.Append(stream, data)
		}
		// Without the records before the checkpoint, processes start from it.
		if err := l.Change(func(s *emulator.LogSettings) { s.RetainCount = len(pieces) }); err != nil {
			return err
		}
		l.Read(stream, 1, 1)
		return l.Change(func(s *emulator.LogSettings) { s.RetainCount = 0 })
	}
}

// table measures idle processes with a table that also holds members that are not real, and records of several kinds at
// its largest size.
func (r slopesRun) table(ctx context.Context, s *Slopes) error {
	var points []NodeCosts
	for _, members := range []int{220, 2200, 5500, targetMembers} {
		f, err := r.start(ctx, 12, launcher.Config{Prepare: r.prepare(members)})
		if err != nil {
			return err
		}
		point, err := observe(ctx, float64(members), f.Nodes, r.span)
		if err == nil && members == targetMembers {
			err = r.records(ctx, f, s)
		}
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
		if err != nil {
			return err
		}
		points = append(points, point)
	}
	s.Table = newStage("members of 16 ranges", points)
	return nil
}

func (r slopesRun) records(ctx context.Context, f *launcher.Fleet, s *Slopes) error {
	state, err := f.State(ctx)
	if err != nil {
		return err
	}
	var member applier.MemberID
	var configuration validator.Configuration
	var version applier.Offset
	state.View(func(st *applier.State) {
		member, configuration, version = st.MembersOf(idleService)[0].ID, *st.Configuration, st.Version
	})
	var points []NodeCosts
	for _, rate := range []float64{1, 5, 20, 80} {
		point, err := r.whileAppending(ctx, f, rate, func() (applier.Record, error) { return applier.Settle{Member: member}, nil })
		if err != nil {
			return err
		}
		points = append(points, point)
	}
	s.Records = newStage("records per second", points)
	points = nil
	for _, rules := range []int{0, 200, 800, 3000} {
		c := configuration
		c.Rules = append([]validator.Rule{}, configuration.Rules...)
		for i := range rules {
			c.Rules = append(c.Rules, validator.Rule{
				Name: fmt.Sprintf("extra-%d", i), Service: idleService, PathPrefix: fmt.Sprintf("/path/%d", i), Rank: "all",
			})
		}
		size := 0
		point, err := r.whileAppending(ctx, f, 1, func() (applier.Record, error) {
			propose := applier.Propose{Author: "launcher", Base: version, Configuration: c}
			data, err := applier.Encode(appender.NewEnvelope(propose))
			size = len(data)
			return propose, err
		}, &version)
		if err != nil {
			return err
		}
		point.X = float64(size) / 1000
		points = append(points, point)
	}
	s.Configurations = newStage("kB per change, one change per second", points)
	return nil
}

// whileAppending measures while records are appended at a rate. The offset of the last one is stored for the next.
func (r slopesRun) whileAppending(ctx context.Context, f *launcher.Fleet, rate float64, next func() (applier.Record, error), last ...*applier.Offset) (NodeCosts, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
			}
			record, err := next()
			if err != nil {
				done <- err
				return
			}
			offset, err := f.Client.Append(ctx, appender.NewEnvelope(record))
			if err != nil && ctx.Err() == nil {
				done <- err
				return
			}
			for _, l := range last {
				if err == nil {
					*l = offset
				}
			}
		}
	}()
	point, err := observe(ctx, rate, f.Nodes, r.span)
	cancel()
	if appendErr := <-done; err == nil {
		err = appendErr
	}
	return point, err
}
