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
	Name: "balance", Short: "choice between servers that mislead, fail, freeze, start cold and are at their connection limit", Duration: time.Minute,
	Run: scenario{
		name: "balance", serviceTime: patternServiceTime, comparable: true,
		baseline: loader.BaselineSettings{Chooser: "reported_load"},
		services: func(c customer) []string { return []string{c.patterns} },
		streams: func(c customer, length time.Duration) []generator.Stream {
			return patternParts(c, length, 0.5, balanceParts)
		},
		script: misleadChooser,
		finish: func(ctx context.Context, s *stage, r generator.Report) error {
			s.set("connections_refused_when_occupied", s.connectionsRefused()-s.figures["connections_refused"])
			return partFigures(ctx, s, r)
		},
		missed: func(r scenarioRun) []string {
			missed := missedParts(0.97)(r)
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
		name: "retry", serviceTime: patternServiceTime, comparable: true,
		baseline: loader.BaselineSettings{UnlimitedRetries: true, Admission: "unlimited"},
		services: func(c customer) []string { return []string{c.patterns} },
		streams:  func(c customer, length time.Duration) []generator.Stream { return patternParts(c, length, 0.6, 3) },
		script: func(ctx context.Context, s *stage) error {
			nodes := s.nodes(s.customer.patterns)
			if !s.until(ctx, 1.0/3) {
				return nil
			}
			s.set("requests_before", s.requests())
			// All servers shed half of what they would do otherwise: other work uses their slots.
			for _, n := range nodes {
				if err := n.Server.Change(func(b *emulator.ServerSettings) {
					b.Shed, b.QueueLimit, b.ServiceTime = true, 0, validator.Duration(3*patternServiceTime)
				}); err != nil {
					return err
				}
			}
			if !s.until(ctx, 2.0/3) {
				return nil
			}
			s.set("requests_while_shedding", s.requests()-s.figures["requests_before"])
			for _, n := range nodes {
				if err := n.Server.Change(func(b *emulator.ServerSettings) { *b = backend(patternServiceTime) }); err != nil {
					return err
				}
			}
			return nil
		},
		finish: func(ctx context.Context, s *stage, r generator.Report) error {
			for _, stream := range r.Streams {
				if stream.Name == "part-1" {
					s.set("amplification_while_shedding", ratio(s.figures["requests_while_shedding"], float64(stream.Sent)))
				}
			}
			return partFigures(ctx, s, r)
		},
		missed: func(r scenarioRun) (missed []string) {
			if a := r.Figures["amplification_while_shedding"]; a > 1.2 {
				missed = append(missed, fmt.Sprintf("amplification is %.2f, the target is 1.2", a))
			}
			return missed
		},
	}.run,
})

// requests counts the requests that reached the backend servers.
func (s *stage) requests() (sum float64) {
	for _, n := range s.nodes(s.customer.patterns) {
		sum += float64(n.Server.Counts().Requests)
	}
	return sum
}

// patternParts is a steady load of patterns, reported in equal parts.
func patternParts(c customer, length time.Duration, share float64, parts int) (streams []generator.Stream) {
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

// partFigures gives the share within target, the good answers and the p99 of each part.
func partFigures(_ context.Context, s *stage, r generator.Report) error {
	for _, stream := range r.Streams {
		s.set(stream.Name+"_within_target", ratio(float64(stream.WithinTarget), float64(stream.Sent)))
		s.set(stream.Name+"_p99_ms", stream.Latency.P99)
	}
	return nil
}

func missedParts(target float64) func(scenarioRun) []string {
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

// misleadChooser makes, one part after the other: nothing; all loads stale; one server slow that reports idle; one that
// fails everything and looks healthy; one frozen; one cold; one that started again after others took all but four of its
// connections.
func misleadChooser(ctx context.Context, s *stage) error {
	nodes := s.nodes(s.customer.patterns)
	healthy := func(b *emulator.ServerSettings) { *b = backend(patternServiceTime) }
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
			s.set("connections_refused", s.connectionsRefused())
			nodes[1].Server.Crash()
			return occupyRestarted(ctx, nodes[1].Server, s.customer.connections-freeConnections)
		},
	}
	for i, step := range steps {
		if !s.until(ctx, float64(i+1)/balanceParts) {
			return nil
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// freeConnections is what other clients leave of a server's connections.
const freeConnections = 4

// connectionsRefused counts the connections that servers refused because of their limit.
func (s *stage) connectionsRefused() (sum float64) {
	for _, n := range s.nodes(s.customer.patterns) {
		sum += float64(n.Server.Counts().ConnectionsRefused)
	}
	return sum
}

// occupyRestarted opens connections to a server that crashed just now, as another client of it would, as soon as it listens
// again, and keeps them until the context ends.
func occupyRestarted(ctx context.Context, server *emulator.Server, count int) error {
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
			// The listener of the server's last life is still open.
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
