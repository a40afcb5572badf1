package experimenter

import (
	"context"
	"fmt"
	"net"
	"time"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/loader"
	"hibiscusline/validator"
)

const (
	patternServiceTime = 40 * time.Millisecond
	balanceParts       = 7
)

var _ = register(Experiment{
	Name:     "balance",
	Short:    "choice between servers that report misleading loads, fail, freeze, start cold or lack connections",
	Duration: time.Minute,
	Run: scenario{
		name: "balance", serviceTime: patternServiceTime, hasBaseline: true,
		baseline: loader.BaselineSettings{Chooser: "reported_load"},
		services: func(c customer) []string { return []string{c.patterns} },
		streams: func(c customer, length time.Duration) []generator.Stream {
			return patternStreams(c, length, 0.5, balanceParts)
		},
		script: misleadChooser,
		finish: func(ctx context.Context, s *session, r generator.Report) error {
			s.setFigure("connections_refused_when_occupied", s.connectionsRefused()-s.figures["connections_refused"])
			return setPartFigures(ctx, s, r)
		},
		missedTargets: func(r scenarioRun) []string {
			missed := missedPartTargets(0.97)(r)
			if refused := r.Figures["connections_refused"]; refused > 0 {
				missed = append(missed, fmt.Sprintf("servers refused %.0f connections beyond their limit, the target is 0", refused))
			}
			return missed
		},
	}.run,
})

var _ = register(Experiment{
	Name: "retry", Short: "amplification while servers fail and shed", Duration: 30 * time.Second,
	Run: scenario{
		name: "retry", serviceTime: patternServiceTime, hasBaseline: true,
		baseline: loader.BaselineSettings{UnlimitedRetries: true, Admission: "unlimited"},
		services: func(c customer) []string { return []string{c.patterns} },
		streams: func(c customer, length time.Duration) []generator.Stream {
			return patternStreams(c, length, 0.6, 3)
		},
		script: func(ctx context.Context, s *session) error {
			nodes := s.nodes(s.customer.patterns)
			if !s.waitFor(ctx, 1.0/3) {
				return nil
			}
			s.setFigure("requests_before", s.backendRequests())
			// Each request takes three times as long, so that the servers can answer only about half of the load and
			// shed the rest, as if other work used their slots.
			for _, n := range nodes {
				if err := n.Server.Change(func(b *emulator.ServerSettings) {
					b.Shed, b.QueueLimit, b.ServiceTime = true, 0, validator.Duration(3*patternServiceTime)
				}); err != nil {
					return err
				}
			}
			if !s.waitFor(ctx, 2.0/3) {
				return nil
			}
			s.setFigure("requests_while_shedding", s.backendRequests()-s.figures["requests_before"])
			for _, n := range nodes {
				if err := n.Server.Change(func(b *emulator.ServerSettings) {
					*b = backendSettings(patternServiceTime)
				}); err != nil {
					return err
				}
			}
			return nil
		},
		finish: func(ctx context.Context, s *session, r generator.Report) error {
			for _, stream := range r.Streams {
				if stream.Name == "part-1" {
					s.setFigure("amplification_while_shedding",
						ratio(s.figures["requests_while_shedding"], float64(stream.Sent)))
				}
			}
			return setPartFigures(ctx, s, r)
		},
		missedTargets: func(r scenarioRun) (missed []string) {
			if a := r.Figures["amplification_while_shedding"]; a > 1.2 {
				missed = append(missed, fmt.Sprintf("amplification is %.2f, the target is 1.2", a))
			}
			return missed
		},
	}.run,
})

// backendRequests returns the number of requests that reached the backend servers of the pattern service.
func (s *session) backendRequests() (sum float64) {
	for _, n := range s.nodes(s.customer.patterns) {
		sum += float64(n.Server.Counts().Requests)
	}
	return sum
}

// patternStreams returns a constant load on the pattern service, at a share of its capacity, as consecutive streams of
// equal length, so that each part of the run is reported separately.
func patternStreams(c customer, length time.Duration, share float64, parts int) (streams []generator.Stream) {
	for i := range parts {
		streams = append(streams, generator.Stream{
			Name: fmt.Sprintf("part-%d", i), Rank: "pattern", Service: c.patterns, Path: "/sheets/1",
			Rate: share * c.capacity(c.patterns, patternServiceTime), Timeout: validator.Duration(2 * time.Second),
			LatencyTarget: c.target("pattern"),
			Start:         validator.Duration(time.Duration(i) * length / time.Duration(parts)),
			Stop:          validator.Duration(time.Duration(i+1) * length / time.Duration(parts)),
		})
	}
	return streams
}

// setPartFigures records the share of requests within target and the p99 latency of each stream.
func setPartFigures(_ context.Context, s *session, r generator.Report) error {
	for _, stream := range r.Streams {
		s.setFigure(stream.Name+"_within_target", ratio(float64(stream.WithinTarget), float64(stream.Sent)))
		s.setFigure(stream.Name+"_p99_ms", stream.Latency.P99)
	}
	return nil
}

// missedPartTargets returns a function that describes the parts of which less than a share was within target.
func missedPartTargets(target float64) func(scenarioRun) []string {
	return func(r scenarioRun) (missed []string) {
		for i := range balanceParts {
			name := fmt.Sprintf("part-%d_within_target", i)
			if v := r.Figures[name]; v < target {
				missed = append(missed, fmt.Sprintf("%s is %.3f, the target is %.2f", name, v, target))
			}
		}
		return missed
	}
}

// misleadChooser begins each part of the run with another disturbance:
//  1. none
//  2. all servers report loads that are 10 s old
//  3. one server is slow and reports that it is idle
//  4. one server fails all requests and looks healthy otherwise
//  5. one server is frozen
//  6. one server restarts and is slow at first
//  7. one server restarts, and other clients occupy all but freeConnections of its connections
func misleadChooser(ctx context.Context, s *session) error {
	nodes := s.nodes(s.customer.patterns)
	healthy := func(b *emulator.ServerSettings) { *b = backendSettings(patternServiceTime) }
	steps := []func() error{
		func() error {
			for _, n := range nodes {
				if err := n.Server.Change(func(b *emulator.ServerSettings) {
					b.LoadReport, b.LoadLag = emulator.LaggingLoad, validator.Duration(10*time.Second)
				}); err != nil {
					return err
				}
			}
			return nil
		},
		func() error {
			return nodes[0].Server.Change(func(b *emulator.ServerSettings) {
				b.LoadReport, b.LoadValue, b.ServiceTime = emulator.ConstantLoad, 0, validator.Duration(10*patternServiceTime)
			})
		},
		func() error {
			if err := nodes[0].Server.Change(healthy); err != nil {
				return err
			}
			return nodes[1].Server.Change(func(b *emulator.ServerSettings) { b.ErrorProbability = 1 })
		},
		func() error {
			nodes[2].Server.Freeze()
			return nodes[1].Server.Change(healthy)
		},
		func() error {
			nodes[2].Server.Thaw()
			if err := nodes[0].Server.Change(func(b *emulator.ServerSettings) {
				b.ColdStart, b.ColdFactor = validator.Duration(3*time.Second), 4
			}); err != nil {
				return err
			}
			nodes[0].Server.Crash()
			return nil
		},
		func() error {
			if err := nodes[0].Server.Change(healthy); err != nil {
				return err
			}
			s.setFigure("connections_refused", s.connectionsRefused())
			nodes[1].Server.Crash()
			return occupyConnections(ctx, nodes[1].Server, s.customer.connections-freeConnections)
		},
	}
	for i, step := range steps {
		if !s.waitFor(ctx, float64(i+1)/balanceParts) {
			return nil
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// freeConnections is the number of a server's connections that other clients leave free.
const freeConnections = 4

// connectionsRefused returns the number of connections that servers refused because of their connection limit.
func (s *session) connectionsRefused() (sum float64) {
	for _, n := range s.nodes(s.customer.patterns) {
		sum += float64(n.Server.Counts().ConnectionsRefused)
	}
	return sum
}

// occupyConnections opens connections to a server that has just crashed as soon as it listens again, as another client
// would, and keeps them open until the context ends.
func occupyConnections(ctx context.Context, server *emulator.Server, count int) error {
	const interval = time.Millisecond
	for opened, down := 0, false; opened < count; {
		connection, err := net.Dial("tcp", server.Address().String())
		switch {
		case err != nil:
			down = true
		case down:
			opened++
			context.AfterFunc(ctx, func() { _ = connection.Close() })
			continue
		default:
			// The listener from before the crash is still open.
			_ = connection.Close()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
	return nil
}
