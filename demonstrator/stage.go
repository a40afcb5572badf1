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

// userDemo is the demonstration of one user: the fleet with its load and events.
type userDemo struct {
	user          user
	config        Config
	progress      *progress
	fleet         *launcher.Fleet
	configuration validator.Configuration
	// stopping is the node that is stopped gracefully, crashed the one that is ended abruptly.
	stopping, crashed *launcher.Node
	err               error

	// mainReport is the report of the load at the entries that run until the end, entryReport that of the load at the
	// entry that is stopped gracefully.
	mainReport, entryReport generator.Report
	startedAt               time.Time
	// stopStart and stopEnd are the start and the end of the graceful stop, since startedAt.
	stopStart, stopEnd time.Duration
}

func (d *userDemo) start() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if d.configuration, d.err = validator.Parse(d.user.configuration); d.err != nil {
		return
	}
	services := d.user.services()
	d.fleet, d.err = launcher.Start(ctx, launcher.Config{
		Services: services, Zones: d.user.zones, Configuration: d.configuration, Seed: d.config.Seed,
	})
	if d.err != nil {
		return
	}
	d.stopping, d.crashed = d.firstNode(d.user.reads), d.firstNode(d.user.orders)
	d.progress.printEvent(d.user.name, "%d backend servers of 3 services are ready", len(d.fleet.Nodes))
}

func (d *userDemo) firstNode(service string) *launcher.Node {
	i := slices.IndexFunc(d.fleet.Nodes, func(n *launcher.Node) bool { return n.Service == service })
	return d.fleet.Nodes[i]
}

// run sends the load and triggers the events. It sets err if an event failed.
func (d *userDemo) run(ctx context.Context) {
	d.startedAt = time.Now()
	var tasks sync.WaitGroup
	tasks.Go(func() { d.mainReport = d.load(ctx, d.otherEntries(), d.at(hotKeyShare)) })
	entryCtx, stopEntry := context.WithCancel(ctx)
	tasks.Go(func() {
		d.entryReport = d.load(entryCtx, []netip.AddrPort{d.stopping.Settings.Listen}, d.config.Duration)
	})
	err := d.runEvents(ctx, stopEntry)
	stopEntry()
	tasks.Wait()
	if d.err == nil && ctx.Err() == nil {
		d.err = err
	}
}

// at converts a share of the duration to a time since the start of the load.
func (d *userDemo) at(share float64) time.Duration {
	return time.Duration(share * float64(d.config.Duration)).Round(time.Millisecond)
}

// otherEntries returns the entries that are neither stopped nor crashed.
func (d *userDemo) otherEntries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, n := range d.fleet.Nodes {
		if n != d.stopping && n != d.crashed {
			entries = append(entries, n.Settings.Listen)
		}
	}
	return entries
}

// load sends all streams to the given entries until the context or the duration ends. If there is just one entry, the
// one to be stopped, the rates are a tenth.
func (d *userDemo) load(ctx context.Context, entries []netip.AddrPort, hotFrom time.Duration) generator.Report {
	streams := d.user.streams(d.configuration, hotFrom)
	if len(entries) == 1 {
		for i := range streams {
			streams[i].Rate /= 10
		}
	}
	report, err := generator.Run(ctx, generator.Config{
		Entries: entries, Duration: validator.Duration(d.config.Duration), Seed: d.config.Seed, Streams: streams,
		Retries: retries, RetryDelay: validator.Duration(retryDelay),
	})
	if err != nil {
		// The configuration of the load is fixed, so an error is a programming error.
		panic(errors.WithMessage(err, d.user.name))
	}
	return report
}
