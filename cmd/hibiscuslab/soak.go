package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/loader"
	"hibiscusline/soaker"
)

func newSoakCommand() *cobra.Command {
	config := soaker.Config{Output: os.Stderr}
	var runs int
	c := &cobra.Command{
		Use:   "soak --binary FILE",
		Short: "Run hibiscusd sidecar processes under random faults and check the guarantees",
		Long: "Starts processes, backend servers and a store on loopback, injects series of faults with calm spells between them, and\n" +
			"prints one JSON line for each run. Every configuration must be in force in time at each process that is in touch. A run\n" +
			"takes about three times the time with faults. Its logs stay in the directory.",
		Example: "  hibiscuslab soak --binary target/hibiscusd --seed 1 --runs 10 --for 20s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			first, base, failed := config.Seed, config.Directory, 0
			for i := range runs {
				config.Seed = first + uint64(i)
				config.Directory = filepath.Join(base, fmt.Sprintf("seed-%d", config.Seed))
				if err := os.MkdirAll(config.Directory, 0o755); err != nil {
					return errors.WithStack(err)
				}
				report, err := soaker.Run(c.Context(), config)
				if err != nil {
					report.Seed = config.Seed
					report.Problems = append(report.Problems, err.Error())
				}
				if err := json.NewEncoder(c.OutOrStdout()).Encode(report); err != nil {
					return errors.WithStack(err)
				}
				if len(report.Problems) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d of %d runs found problems; their logs are in %s", failed, runs, base)
			}
			return nil
		},
	}
	c.Flags().StringVar(&config.Binary, "binary", "", "path of hibiscusd")
	c.Flags().StringVar(&config.Directory, "directory", os.TempDir(), "directory for settings and logs")
	c.Flags().Uint64Var(&config.Seed, "seed", uint64(time.Now().Unix()), "seed of the first run")
	c.Flags().IntVar(&runs, "runs", 1, "number of runs, with one seed after the other")
	c.Flags().DurationVar(&config.Duration, "for", 20*time.Second, "time with faults, without the calm spells")
	c.Flags().IntVar(&config.StockServers, "stock", 4, "number of servers of the keyed service")
	c.Flags().IntVar(&config.OrderServers, "orders", 3, "number of servers of the service without keys")
	c.Flags().StringVar((*string)(&config.Grants), "grants", string(loader.GrantsByHeartbeat), "how keys are granted: heartbeat or request")
	if err := c.MarkFlagRequired("binary"); err != nil {
		panic(err)
	}
	return c
}
