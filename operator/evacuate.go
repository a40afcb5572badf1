package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"hibiscusline/applier"
)

// evacuationReport is the JSON output of evacuate and restore.
type evacuationReport struct {
	Zone       string              `json:"zone"`
	Offset     applier.Offset      `json:"offset"`
	Evacuation *applier.Evacuation `json:"evacuation,omitempty"`
}

func (s *session) evacuateCommand() *cobra.Command {
	return s.zoneCommand(&cobra.Command{
		Use:   "evacuate ZONE --as NAME",
		Short: "Keep all requests away from the backend servers of an availability zone",
		Long: "Evacuates an availability zone: its backend servers get no more requests without a key at once, and none at all\n" +
			"after 5 s. Their ranges move to other zones. What runs ends undisturbed. The processes of the zone still forward\n" +
			"the requests of callers there. With all zones evacuated, requests are refused as evacuated.",
		Example: "  hibiscusctl evacuate z1 --as liis --log 10.0.9.1:7500",
	}, func(zone, operator string) applier.Record { return applier.Evacuate{Zone: zone, Operator: operator} })
}

func (s *session) restoreCommand() *cobra.Command {
	return s.zoneCommand(&cobra.Command{
		Use:   "restore ZONE --as NAME",
		Short: "End the evacuation of an availability zone",
		Long: "Ends the evacuation of an availability zone. Its members count as new ones: requests and ranges come back by\n" +
			"degrees.",
		Example: "  hibiscusctl restore z1 --as liis --log 10.0.9.1:7500",
	}, func(zone, operator string) applier.Record { return applier.Restore{Zone: zone, Operator: operator} })
}

// zoneCommand completes a command that appends a record about a zone.
func (s *session) zoneCommand(c *cobra.Command, record func(zone, operator string) applier.Record) *cobra.Command {
	var operator, id string
	c.Args = cobra.ExactArgs(1)
	c.RunE = s.withTimeout(func(ctx context.Context, args []string) error {
		if err := s.loadState(ctx); err != nil {
			return err
		}
		return s.changeZone(ctx, id, args[0], record(args[0], operator))
	})
	addOperatorFlag(c, &operator)
	addIDFlag(c, &id)
	return c
}

func (s *session) changeZone(ctx context.Context, id, zone string, r applier.Record) error {
	if err := s.requireZone(zone); err != nil {
		return err
	}
	result, err := s.commit(ctx, id, r)
	if err != nil {
		return err
	}
	report := evacuationReport{Zone: zone, Offset: result.Offset}
	s.follower.View(func(state *applier.State) {
		if e, evacuated := state.Evacuated(zone); evacuated {
			report.Evacuation = &e
		}
	})
	text := fmt.Sprintf("zone %s is not evacuated\n", quoteUnprintable(zone))
	if e := report.Evacuation; e != nil {
		text = fmt.Sprintf("zone %s is evacuated since offset %d, by %s\n", quoteUnprintable(zone), e.Offset, quoteUnprintable(e.Operator))
	}
	return s.print(report, text)
}

// requireZone returns an error if no member, placement rule or evacuation names the zone.
func (s *session) requireZone(zone string) error {
	known := map[string]bool{}
	s.follower.View(func(state *applier.State) {
		for _, m := range state.Members {
			known[m.Zone] = true
		}
		if state.Configuration != nil {
			for _, p := range state.Configuration.Placements {
				for _, z := range p.Zones {
					known[z] = true
				}
			}
		}
		for _, e := range state.AllEvacuations() {
			known[e.Zone] = true
		}
	})
	if known[zone] && zone != "" {
		return nil
	}
	names := make([]string, 0, len(known))
	for _, z := range slices.Sorted(maps.Keys(known)) {
		names = append(names, formatCell(z))
	}
	return badInput("no member or placement rule is in zone %q; known zones: %s", zone, formatCell(strings.Join(names, ", ")))
}

// formatZones returns a line of text with the evacuated zones, or none.
func formatZones(zones []string) string {
	if len(zones) == 0 {
		return ""
	}
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = quoteUnprintable(z)
	}
	return fmt.Sprintf("evacuated zones: %s\n", strings.Join(names, ", "))
}
