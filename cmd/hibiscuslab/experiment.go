package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/experimenter"
)

func newExperimentCommand() *cobra.Command {
	var o experimenter.Options
	c := &cobra.Command{
		Use:   "experiment NAME",
		Short: "Run an experiment on a fleet of processes on loopback",
		Long:  "Runs an experiment and prints its result as one JSON object in the last line.\nThe exit code is 1 if a guarantee was violated.\n\n" + experimentList(),
		Example: "  hibiscuslab experiment faults --seed 7 --for 60s\n" +
			"  hibiscuslab experiment flood --seed 1 --for 30s --baseline",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experimenter.Find(args[0])
			if err != nil {
				return err
			}
			if o.Duration <= 0 {
				o.Duration = e.Duration
			}
			o.Progress = c.ErrOrStderr()
			o.Command = daemonProcess
			result, err := e.Run(c.Context(), o)
			if err != nil {
				return err
			}
			data, err := json.Marshal(result)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintln(c.OutOrStdout(), string(data)); err != nil {
				return err
			}
			if violations := result.Violations(); len(violations) > 0 {
				return errors.Errorf("violated guarantees: %v", violations)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	c.Flags().DurationVar(&o.Duration, "for", 0, "duration of the load (0: the experiment's own)")
	c.Flags().BoolVar(&o.Baseline, "baseline", false, "also run the baseline with the same seed")
	return c
}

func experimentList() string {
	list := "Experiments:\n"
	for _, e := range experimenter.All() {
		list += fmt.Sprintf("  %-10s %s (%s)\n", e.Name, e.Short, e.Duration.Round(time.Second))
	}
	return list
}

// daemonProcess returns a command that runs this program as a hibiscusd, so that experiments need no second binary.
func daemonProcess(settings string) *exec.Cmd {
	return exec.Command(os.Args[0], "daemon", "--settings", settings)
}
