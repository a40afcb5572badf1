package demonstrator

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/validator"
)

// stage is the fleet of one user with its load and events.
type stage struct {
	user          user
	config        Config
	progress      *progress
	fleet         *launcher.Fleet
	configuration validator.Configuration
	// leaving is stopped gracefully and lost abruptly.
	leaving, lost *launcher.Node
	err           error

	// main is the load at the entries that stay; entry is the load at the entry that is stopped gracefully.
	main, entry generator.Report
	began       time.Time
	// stopFrom and stopTo bound the graceful stop, since began.
	stopFrom, stopTo time.Duration
}

func (s *stage) start() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if s.configuration, s.err = validator.Parse(s.user.configuration); s.err != nil {
		return
	}
	services := s.user.services()
	s.fleet, s.err = launcher.Start(ctx, launcher.Config{
		Services: services, Zones: s.user.zones, Configuration: s.configuration, Seed: s.config.Seed,
	})
	if s.err != nil {
		return
	}
	s.leaving, s.lost = s.first(s.user.reads), s.first(s.user.orders)
	s.progress.say(s.user.name, "%d backend servers of 3 services are ready", len(s.fleet.Nodes))
}

func (s *stage) first(service string) *launcher.Node {
	i := slices.IndexFunc(s.fleet.Nodes, func(n *launcher.Node) bool { return n.Service == service })
	return s.fleet.Nodes[i]
}

// run sends the load and lets the events happen. It sets err if an event could not be made to happen.
func (s *stage) run(ctx context.Context) {
	s.began = time.Now()
	var tasks sync.WaitGroup
	tasks.Go(func() { s.main = s.load(ctx, s.staying(), s.at(hotAt)) })
	entryCtx, stopEntry := context.WithCancel(ctx)
	tasks.Go(func() { s.entry = s.load(entryCtx, []netip.AddrPort{s.leaving.Settings.Listen}, s.config.Duration) })
	err := s.events(ctx, stopEntry)
	stopEntry()
	tasks.Wait()
	if s.err == nil && ctx.Err() == nil {
		s.err = err
	}
}

// at returns a time of the run.
func (s *stage) at(share float64) time.Duration {
	return time.Duration(share * float64(s.config.Duration)).Round(time.Millisecond)
}

// staying returns the entries that are not going to be stopped.
func (s *stage) staying() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, n := range s.fleet.Nodes {
		if n != s.leaving && n != s.lost {
			entries = append(entries, n.Settings.Listen)
		}
	}
	return entries
}

// load sends all streams to the given entries. The single entry that is to be stopped gets a tenth of the rates.
func (s *stage) load(ctx context.Context, entries []netip.AddrPort, hotFrom time.Duration) generator.Report {
	streams := s.user.streams(s.configuration, hotFrom)
	if len(entries) == 1 {
		for i := range streams {
			streams[i].Rate /= 10
		}
	}
	report, err := generator.Run(ctx, generator.Config{
		Entries: entries, Duration: validator.Duration(s.config.Duration), Seed: s.config.Seed, Streams: streams,
		Retries: resends, RetryDelay: validator.Duration(resendDelay),
	})
	if err != nil {
		// The configuration of the load is fixed.
		panic(errors.WithMessage(err, s.user.name))
	}
	return report
}
