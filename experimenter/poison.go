package experimenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/validator"
)

var _ = register(Experiment{
	Name: "poison", Short: "a request that crashes every server that runs it and is sent again", Duration: 30 * time.Second,
	Run: scenario{
		name: "poison", serviceTime: 40 * time.Millisecond,
		services: func(c customer) []string { return []string{c.orders, c.patterns} },
		streams: func(c customer, _ time.Duration) []generator.Stream {
			return []generator.Stream{{
				Name: "pattern", Rank: "pattern", Rate: 0.4 * c.capacity(c.patterns, 40*time.Millisecond), Service: c.patterns,
				Path: "/sheets/1", Timeout: validator.Duration(2 * time.Second), LatencyTarget: c.target("pattern"),
			}, {
				Name: "order", Rank: "order", Rate: 0.4 * c.capacity(c.orders, 40*time.Millisecond), Service: c.orders, Method: "POST",
				Path: "/reservations", KeyCount: 5000, KeyPrefix: "item-", NonRepeatable: true,
				Timeout: validator.Duration(2 * time.Second), LatencyTarget: c.target("order"),
			}}
		},
		script: sendPoison,
		finish: func(_ context.Context, s *session, _ generator.Report) error {
			for _, service := range []string{s.customer.orders, s.customer.patterns} {
				var crashes uint64
				for _, n := range s.nodes(service) {
					crashes += n.Server.Counts().Crashes
				}
				s.setFigure("servers_lost_"+service, float64(crashes))
			}
			return nil
		},
		missedTargets: func(r scenarioRun) (missed []string) {
			for name, lost := range r.Figures {
				if lost > 2 {
					missed = append(missed, fmt.Sprintf("%s is %v, the target is at most 2", name, lost))
				}
			}
			for rank, service := range r.Ranks {
				if refused := service.Reasons["poison"]; refused > 0 {
					missed = append(missed, fmt.Sprintf("%d other requests of rank %s were refused as poison",
						refused, rank))
				}
			}
			return missed
		},
	}.run,
})

// sendPoison repeatedly sends the same poison request to each service, each time through another entry.
func sendPoison(ctx context.Context, s *session) error {
	if !s.waitFor(ctx, 0.2) {
		return nil
	}
	client := &http.Client{Timeout: 4 * time.Second}
	entries := s.fleet.Entries()
	for i := 0; s.waitFor(ctx, 0.2) && time.Since(s.started) < s.length*8/10; i++ {
		for _, service := range []string{s.customer.orders, s.customer.patterns} {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entries[i%len(entries)].String()+"/sheets/poison", nil)
			if err != nil {
				return err
			}
			r.Header.Set("Hibiscus-Service", service)
			r.Header.Set(emulator.HeaderKey, "item-poison")
			r.Header.Set(emulator.HeaderCrash, "1")
			response, err := client.Do(r)
			if err != nil {
				s.incrementCount(service + "/transport_error")
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			s.incrementCount(fmt.Sprintf("%s/%d/%s",
				service, response.StatusCode, response.Header.Get("Hibiscus-Reason")))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
