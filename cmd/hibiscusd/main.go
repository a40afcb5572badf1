// Command hibiscusd is the proxy that runs beside each backend server and routes requests to the owners of their keys.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"hibiscusline/daemon"
	"hibiscusline/loader"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscusd:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	var settingsPath string
	var check bool
	c := &cobra.Command{
		Use:   "hibiscusd --settings FILE",
		Short: "Route requests to the servers that own their keys",
		Long: "hibiscusd runs beside one backend server. It takes any caller's request, forwards it to the process that owns\n" +
			"the request's key, and runs the requests of the keys that its own backend server owns.",
		Example:       "  hibiscusd --settings hibiscusd.json\n  hibiscusd --settings hibiscusd.json --check",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := loader.LoadDaemon(settingsPath)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(c.OutOrStdout(), "settings are valid")
				return err
			}
			return run(settings)
		},
	}
	c.Flags().StringVar(&settingsPath, "settings", "", "settings file, JSON with comments")
	c.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	c.AddCommand(newSidecarCommand())
	return c
}

func run(settings loader.DaemonSettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	return daemon.New(daemon.Config{Settings: settings, Logger: logger}).Run(ctx)
}
