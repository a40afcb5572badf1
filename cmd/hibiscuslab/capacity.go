package main

import (
	"os"

	"github.com/spf13/cobra"

	"hibiscusline/experimenter"
)

// newCapacityCommand returns the command that generates the page docs/CAPACITY.md.
func newCapacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "capacity FILE",
		Short:   "Write docs/CAPACITY.md from the output of the experiment slopes",
		Example: "  hibiscuslab experiment slopes --seed 1 --for 60s > slopes.json\n  hibiscuslab capacity slopes.json > docs/CAPACITY.md",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			return experimenter.WriteCapacity(c.OutOrStdout(), data)
		},
	}
}
