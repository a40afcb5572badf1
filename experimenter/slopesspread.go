package experimenter

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/launcher"
)

// Propagation is the time from the append of a configuration until processes have it in force. It includes the time
// until the log readers' next poll and up to 10 ms until the measurement notices the change.
type Propagation struct {
	Processes int     `json:"processes"`
	MedianMs  float64 `json:"median_ms"`
	MaxMs     float64 `json:"max_ms"`
}

// measurePropagation publishes a configuration and waits until every process has it in force.
func (r slopesRun) measurePropagation(ctx context.Context, f *launcher.Fleet, s *SlopesResult) error {
	const interval = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	state, err := f.State(ctx)
	if err != nil {
		return err
	}
	propose := applier.Propose{Author: "launcher", Comment: "spread"}
	state.View(func(st *applier.State) { propose.Base, propose.Configuration = st.Version, *st.Configuration })
	started := time.Now()
	version, err := f.Client.Append(ctx, appender.NewEnvelope(propose))
	if err != nil {
		return err
	}
	times := make(chan float64, len(f.Nodes))
	for _, n := range f.Nodes {
		go func() {
			for ctx.Err() == nil {
				if status, err := n.Status(ctx); err == nil && status.Version >= version {
					times <- millisecondsPerRun(started, 1)
					return
				}
				time.Sleep(interval)
			}
			times <- -1
		}()
	}
	var all []float64
	for range f.Nodes {
		t := <-times
		if t < 0 {
			return errors.Errorf("configuration version %d did not reach every process", version)
		}
		all = append(all, t)
	}
	slices.Sort(all)
	s.Spread = append(s.Spread, Propagation{Processes: len(all), MedianMs: all[len(all)/2], MaxMs: all[len(all)-1]})
	return nil
}
