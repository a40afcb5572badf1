package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/loader"
	"hibiscusline/platform"
	"hibiscusline/sidecar"
)

func newSidecarCommand() *cobra.Command {
	var settingsPath, configurationWithin string
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
			load := func() (loader.SidecarSettings, error) { return loadSettings(settingsPath, configurationWithin) }
			settings, err := load()
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
			return sidecar.New(sidecar.Config{Settings: settings, Signals: hangups, Reload: load}).Run(ctx)
		},
	}
	c.Flags().StringVar(&settingsPath, "settings", "", "settings file, JSON with comments")
	c.Flags().StringVar(&configurationWithin, "configuration-within", "",
		"how soon a configuration must be in force, in place of bounds.configuration of the settings; empty keeps that")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return c
}

// loadSettings reads the settings file. A bound that isn't empty replaces that of configurations.
func loadSettings(path, configurationWithin string) (loader.SidecarSettings, error) {
	settings, err := loader.LoadSidecar(path)
	if err != nil || configurationWithin == "" {
		return settings, err
	}
	if settings.Bounds.Configuration, err = time.ParseDuration(configurationWithin); err != nil {
		return settings, errors.Wrap(err, "--configuration-within")
	}
	if problems := settings.Check(); len(problems) > 0 {
		return settings, errors.Errorf("--configuration-within %s: allowed: %s", configurationWithin, problems[0].Allowed)
	}
	return settings, nil
}
