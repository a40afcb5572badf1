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
	// Duration is the time for which load is sent.
	Duration time.Duration
	Seed     uint64
	// Progress takes lines for people; nil drops them.
	Progress io.Writer
	// Terminal means that Progress can rewrite its last line.
	Terminal bool
}

// MinDuration leaves the lost server's keys time to be served again under load.
const MinDuration = 5 * time.Second

// startTimeout bounds the start of the fleets, which takes about 2 s on an idle machine.
const startTimeout = 30 * time.Second

// Run starts both fleets, runs the demonstration and returns its summary. An error means that it could not be run to its
// end; broken promises are in the summary.
func Run(ctx context.Context, c Config) (Summary, error) {
	if c.Duration < MinDuration {
		return Summary{}, errors.Errorf("duration is %s; allowed: at least %s", c.Duration, MinDuration)
	}
	p := newProgress(c)
	defer p.close()
	stages := make([]*stage, len(users))
	var tasks sync.WaitGroup
	for i, u := range users {
		stages[i] = &stage{user: u, config: c, progress: p}
		tasks.Go(stages[i].start)
	}
	tasks.Wait()
	defer stopAll(stages)
	for _, s := range stages {
		if s.err != nil {
			return Summary{}, errors.WithMessage(s.err, s.user.name)
		}
	}
	p.follow(stages)
	for _, s := range stages {
		tasks.Go(func() { s.run(ctx) })
	}
	tasks.Wait()
	summary := Summary{}
	for _, s := range stages {
		if s.err != nil {
			return summary, errors.WithMessage(s.err, s.user.name)
		}
		summary.Users = append(summary.Users, s.summarize())
	}
	return summary, ctx.Err()
}

func stopAll(stages []*stage) {
	var tasks sync.WaitGroup
	for _, s := range stages {
		if s.fleet == nil {
			continue
		}
		tasks.Go(func() {
			if err := s.fleet.Stop(); err != nil {
				s.progress.say(s.user.name, "stop: %v", err)
			}
		})
	}
	tasks.Wait()
}
