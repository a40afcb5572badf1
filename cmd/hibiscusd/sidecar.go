package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/sidecar"
)

func newSidecarCommand() *cobra.Command {
	var settingsPath string
	var check bool
	c := &cobra.Command{
		Use:   "sidecar [--settings FILE]",
		Short: "Route requests on the users' platform",
		Long: "Runs beside one backend server of the users' platform. Without --settings, the platform's environment variable\n" +
			"names the settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if settingsPath == "" {
				settingsPath = platform.SettingsPath()
			}
			settings, err := loader.LoadSidecar(settingsPath)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(c.OutOrStdout(), "settings are valid")
				return err
			}
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return sidecar.New(sidecar.Config{
				Settings: settings, Signals: hangups,
				Reload: func() (loader.SidecarSettings, error) { return loader.LoadSidecar(settingsPath) },
			}).Run(ctx)
		},
	}
	c.Flags().StringVar(&settingsPath, "settings", "", "settings file, JSON with comments")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return c
}
