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

// populateLog returns a function that fills the log with a checkpoint of a table of the given size. Its members have no
// processes and are marked as draining, so that the real processes choose each other as guardians.
func (r slopesRun) populateLog(members int) func(*emulator.Log, string) error {
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
		// The records before the checkpoint are trimmed, so that processes start from the checkpoint.
		if err := l.Change(func(s *emulator.LogSettings) { s.RetainCount = len(pieces) }); err != nil {
			return err
		}
		l.Read(stream, 1, 1)
		return l.Change(func(s *emulator.LogSettings) { s.RetainCount = 0 })
	}
}

// measureIdleByTableSize measures idle processes with tables of several sizes, most of whose members have no process,
// and the cost of several kinds of records with the largest table.
func (r slopesRun) measureIdleByTableSize(ctx context.Context, s *SlopesResult) error {
	var points []NodeCosts
	for _, members := range []int{220, 2200, 5500, targetMembers} {
		// All processes are in one zone, so that only two of them read the log and the others get records from peers,
		// like most processes of a large fleet.
		f, err := r.start(ctx, 12, launcher.Config{PopulateLog: r.populateLog(members), Zones: r.zones()[:1]})
		if err != nil {
			return err
		}
		point, err := measureNodes(ctx, float64(members), f.Nodes, r.pointDuration)
		if err == nil && members == targetMembers {
			err = r.measureRecords(ctx, f, s)
		}
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
		if err != nil {
			return err
		}
		points = append(points, point)
	}
	s.Table = newSweep("members of 16 ranges", points)
	return nil
}

// measureRecords measures the cost of records at several rates, and then that of configurations.
func (r slopesRun) measureRecords(ctx context.Context, f *launcher.Fleet, s *SlopesResult) error {
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
		point, err := r.measureWhileAppending(ctx, f, rate, func() (applier.Record, error) {
			return applier.Settle{Member: member}, nil
		})
		if err != nil {
			return err
		}
		points = append(points, point)
	}
	s.Records = newSweep("records per second", points)
	return r.measureConfigurations(ctx, f, s, configuration, version)
}

// measureConfigurations measures the publication of configurations of several sizes, as a whole and as a change of one
// rule.
func (r slopesRun) measureConfigurations(
	ctx context.Context, f *launcher.Fleet, s *SlopesResult, base validator.Configuration, version applier.Offset,
) error {
	var whole, changes []NodeCosts
	for _, rules := range []int{0, 200, 800, 3000} {
		sets := [2]validator.Configuration{base, base}
		for i := range sets {
			// The last rule of a service matches all of its requests, so the added rules come before it.
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
		for i, target := range []*[]NodeCosts{&whole, &changes} {
			point, err := r.measureWhileAppending(ctx, f, 1, publish(i == 1), &version)
			if err != nil {
				return err
			}
			point.X = float64(size) / 1000
			*target = append(*target, point)
		}
	}
	state, err := f.State(ctx)
	if err != nil {
		return err
	}
	var inForce applier.Offset
	state.View(func(st *applier.State) { inForce = st.Version })
	if inForce != version {
		return errors.Errorf("configuration version %d is in force, but version %d was published last",
			inForce, version)
	}
	s.Configurations = newSweep("kB of the set, published whole once per second", whole)
	s.Changes = newSweep("kB of the set, one rule changed per second", changes)
	return nil
}

// measureWhileAppending measures processes while records are appended at a rate, given per second. The offset of each
// record is stored in last before next is called again.
func (r slopesRun) measureWhileAppending(
	ctx context.Context, f *launcher.Fleet, rate float64, next func() (applier.Record, error), last ...*applier.Offset,
) (NodeCosts, error) {
	// Records of the previous measurement reach all processes within this time.
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
			// A stop doesn't interrupt an append, since the next record may depend on its offset.
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
	point, err := measureNodes(ctx, rate, f.Nodes, r.pointDuration)
	close(stop)
	if appendErr := <-done; err == nil {
		err = appendErr
	}
	return point, err
}
