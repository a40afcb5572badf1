package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hibiscusline/experimenter"
)

func newReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "report DIR",
		Short:   "Write a page with plots of the experiments' results that a directory holds",
		Long:    "Reads the results saved as *.json in a directory and writes report.md and its plots there.",
		Example: "  hibiscuslab experiment flood --seed 1 --baseline > results/flood.json\n  hibiscuslab report results",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := experimenter.Report(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), path)
			return err
		},
	}
}
