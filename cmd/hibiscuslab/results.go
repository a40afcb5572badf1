package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"hibiscusline/platform/summarizer"
)

func newResultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "results DIR",
		Short:   "Print the page of results of the journal that a directory holds",
		Example: "  hibiscuslab results journal > docs/RESULTS.md",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			page, err := summarizer.RenderPage(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.OutOrStdout(), page)
			return err
		},
	}
}
