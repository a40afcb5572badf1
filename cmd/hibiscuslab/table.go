package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"hibiscusline/experimenter"
)

// newTableCommand returns the hidden command that the experiment slopes uses to measure a table in a separate process.
func newTableCommand() *cobra.Command {
	var seed uint64
	var size experimenter.TableSize
	c := &cobra.Command{
		Use:    "table",
		Short:  "Measure the costs of a table of members and ranges",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			costs, err := experimenter.MeasureTable(seed, size)
			if err != nil {
				return err
			}
			data, err := json.Marshal(costs)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), string(data))
			return err
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random choices")
	c.Flags().IntVar(&size.Members, "members", 11000, "members")
	c.Flags().IntVar(&size.Ranges, "ranges", 176000, "ranges")
	c.Flags().IntVar(&size.Services, "services", 1, "services")
	c.Flags().IntVar(&size.Zones, "zones", 41, "zones")
	return c
}
