package main

import (
	"github.com/spf13/cobra"

	"hibiscusline/daemon"
	"hibiscusline/loader"
)

// newDaemonCommand runs a hibiscusd for the experiments.
func newDaemonCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:    "daemon",
		Short:  "Run a hibiscusd for an experiment",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loader.LoadDaemon(path)
			if err != nil {
				return err
			}
			return daemon.New(daemon.Config{Settings: settings, Logger: newLogger()}).Run(c.Context())
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	return c
}
