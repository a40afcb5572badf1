package main

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/demonstrator"
)

func newDemoCommand() *cobra.Command {
	var config demonstrator.Config
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the fleets of both users in this process, move a hot key, stop and lose servers, and check the promises",
		Long: "Starts a log service, backend servers and a hibiscusd beside each on loopback, for both users. Loads all ranks,\n" +
			"makes a key hot and moves it, stops one server gracefully and loses another. Ends with a summary; the exit code\n" +
			"is 1 if a promise was broken.",
		Example: "  hibiscuslab demo --for 10s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config.Progress, config.Terminal = c.ErrOrStderr(), isTerminal(os.Stderr)
			summary, err := demonstrator.Run(c.Context(), config)
			if err != nil {
				return err
			}
			if err := summary.Write(c.OutOrStdout()); err != nil {
				return err
			}
			if broken := summary.Broken(); broken > 0 {
				return errors.Errorf("promises were broken %d times", broken)
			}
			return nil
		},
	}
	c.Flags().DurationVar(&config.Duration, "for", 10*time.Second, "duration of the load")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the load")
	return c
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
