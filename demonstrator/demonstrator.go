package demonstrator

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config configures a demonstration.
type Config struct {
	// Duration is the time for which load is sent, at least MinDuration.
	Duration time.Duration
	Seed     uint64
	// Progress receives progress lines for humans. Nil discards them.
	Progress io.Writer
	// Terminal reports that Progress is a terminal, so the last line can be rewritten with escape sequences.
	Terminal bool
}

// MinDuration is long enough for the keys of the crashed server to be served again while load is still sent.
const MinDuration = 5 * time.Second

// startTimeout bounds the start of the fleets, which takes about 2 s on an idle machine.
const startTimeout = 30 * time.Second

// Run starts both fleets, runs the demonstration and returns its summary. It returns an error if the demonstration
// could not be completed; broken promises are not errors but part of the summary.
func Run(ctx context.Context, c Config) (Summary, error) {
	if c.Duration < MinDuration {
		return Summary{}, errors.Errorf("duration is %s; allowed: at least %s", c.Duration, MinDuration)
	}
	p := newProgress(c)
	defer p.close()
	demos := make([]*userDemo, len(users))
	var tasks sync.WaitGroup
	for i, u := range users {
		demos[i] = &userDemo{user: u, config: c, progress: p}
		tasks.Go(demos[i].start)
	}
	tasks.Wait()
	defer stopAll(demos)
	for _, d := range demos {
		if d.err != nil {
			return Summary{}, errors.WithMessage(d.err, d.user.name)
		}
	}
	p.showTotals(demos)
	for _, d := range demos {
		tasks.Go(func() { d.run(ctx) })
	}
	tasks.Wait()
	summary := Summary{}
	for _, d := range demos {
		if d.err != nil {
			return summary, errors.WithMessage(d.err, d.user.name)
		}
		summary.Users = append(summary.Users, d.summarize())
	}
	return summary, ctx.Err()
}

func stopAll(demos []*userDemo) {
	var tasks sync.WaitGroup
	for _, d := range demos {
		if d.fleet == nil {
			continue
		}
		tasks.Go(func() {
			if err := d.fleet.Stop(); err != nil {
				d.progress.printEvent(d.user.name, "failed to stop the fleet: %v", err)
			}
		})
	}
	tasks.Wait()
}
