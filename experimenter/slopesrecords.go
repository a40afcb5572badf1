package experimenter

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

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
		pieces, err := state.CheckpointRecords("table")
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
		// In one zone only two of the processes read the log, and the others get the records from peers, as in a large fleet.
		f, err := r.start(ctx, 12, launcher.Config{PopulateLog: r.prepare(members), Zones: r.zones()[:1]})
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
	return r.configurations(ctx, f, s, configuration, version)
}

// configurations measures changes of configurations of several sizes, published whole and as changes of one rule.
func (r slopesRun) configurations(ctx context.Context, f *launcher.Fleet, s *Slopes, base validator.Configuration, version applier.Offset) error {
	var whole, changes []NodeCosts
	for _, rules := range []int{0, 200, 800, 3000} {
		sets := [2]validator.Configuration{base, base}
		for i := range sets {
			// The last rule of a service matches all its requests, so further ones come before it.
			sets[i].Rules = []validator.Rule{{Name: "changing", Service: idleService, PathPrefix: fmt.Sprintf("/%d", i), Rank: "all"}}
			for k := range rules {
				sets[i].Rules = append(sets[i].Rules, validator.Rule{
					Name: fmt.Sprintf("extra-%d", k), Service: idleService, PathPrefix: fmt.Sprintf("/path/%04d", k), Rank: "all",
				})
			}
			sets[i].Rules = append(sets[i].Rules, base.Rules...)
		}
		if err := validator.Check(sets[0]); err != nil {
			return err
		}
		size, step := 0, 0
		publish := func(asChanges bool) func() (applier.Record, error) {
			return func() (applier.Record, error) {
				step++
				propose := applier.Propose{Author: "launcher", Base: version, Configuration: sets[step%2]}
				data, err := applier.Encode(appender.NewEnvelope(propose))
				size = max(size, len(data))
				if asChanges {
					c := validator.ChangesBetween(sets[1-step%2], sets[step%2])
					propose.Configuration, propose.Changes = validator.Configuration{}, &c
				}
				return propose, err
			}
		}
		for i, into := range []*[]NodeCosts{&whole, &changes} {
			point, err := r.whileAppending(ctx, f, 1, publish(i == 1), &version)
			if err != nil {
				return err
			}
			point.X = float64(size) / 1000
			*into = append(*into, point)
		}
	}
	state, err := f.State(ctx)
	if err != nil {
		return err
	}
	var inForce applier.Offset
	state.View(func(st *applier.State) { inForce = st.Version })
	if inForce != version {
		return errors.Errorf("configuration version %d is in force, %d was published last", inForce, version)
	}
	s.Configurations = newStage("kB of the set, published whole once per second", whole)
	s.Changes = newStage("kB of the set, one rule changed per second", changes)
	return nil
}

// whileAppending measures while records are appended at a rate. The offset of the last one is stored for the next.
func (r slopesRun) whileAppending(ctx context.Context, f *launcher.Fleet, rate float64, next func() (applier.Record, error), last ...*applier.Offset) (NodeCosts, error) {
	// Records of the stage before must have spread.
	time.Sleep(time.Second)
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				done <- nil
				return
			case <-ticker.C:
			}
			// An append is never cut short, since the next record may depend on its offset.
			record, err := next()
			if err != nil {
				done <- err
				return
			}
			offset, err := f.Client.Append(ctx, appender.NewEnvelope(record))
			if err != nil {
				done <- err
				return
			}
			for _, l := range last {
				*l = offset
			}
		}
	}()
	point, err := observe(ctx, rate, f.Nodes, r.span)
	close(stop)
	if appendErr := <-done; err == nil {
		err = appendErr
	}
	return point, err
}
