package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscusline/attendant"
	"hibiscusline/loader"
	"hibiscusline/platform"
)

func sidecar() *cobra.Command {
	var path string
	var check bool
	c := &cobra.Command{
		Use:   "sidecar [--settings FILE]",
		Short: "Route requests on the users' platform",
		Long: "Runs beside one backend server of the users' platform. Without --settings, the platform's environment variable\n" +
			"names the settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				path = platform.SettingsPath()
			}
			settings, err := loader.LoadSidecar(path)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(c.OutOrStdout(), "settings are valid")
				return err
			}
			changes := make(chan os.Signal, 1)
			signal.Notify(changes, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return attendant.New(attendant.Config{
				Settings: settings, Signals: changes,
				Reload: func() (loader.SidecarSettings, error) { return loader.LoadSidecar(path) },
			}).Run(ctx)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return c
}
