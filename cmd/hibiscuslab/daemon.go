package main

import (
	"github.com/spf13/cobra"

	"hibiscusline/daemon"
	"hibiscusline/loader"
)

// newDaemonCommand returns the hidden command that experiments use to run hibiscusd processes.
func newDaemonCommand() *cobra.Command {
	var settingsPath string
	c := &cobra.Command{
		Use:    "daemon",
		Short:  "Run a hibiscusd for an experiment",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loader.LoadDaemon(settingsPath)
			if err != nil {
				return err
			}
			return daemon.New(daemon.Config{Settings: settings, Logger: newLogger()}).Run(c.Context())
		},
	}
	c.Flags().StringVar(&settingsPath, "settings", "", "settings file")
	return c
}
