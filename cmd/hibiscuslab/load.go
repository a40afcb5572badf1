package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/generator"
	"hibiscusline/validator"
)

type loadFlags struct {
	file     string
	entries  []string
	duration time.Duration
	timeout  time.Duration
	target   time.Duration
	stream   generator.Stream
	seed     uint64
	resends  int
	direct   bool
	verbose  bool
}

func newLoadCommand() *cobra.Command {
	var f loadFlags
	command := &cobra.Command{
		Use:   "load",
		Short: "Send load to a fleet; the last line of the output is the report as JSON",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := f.config(c)
			if err != nil {
				return err
			}
			report, err := generator.Run(c.Context(), config)
			if err != nil {
				return err
			}
			return writeReport(c.OutOrStdout(), report, f.verbose)
		},
	}
	flags := command.Flags()
	flags.StringVar(&f.file, "file", "", "load as JSON with comments (generator.Config); flags that are given replace its values")
	flags.StringSliceVar(&f.entries, "entry", nil, "address of a hibiscusd; may be repeated")
	flags.DurationVar(&f.duration, "duration", 10*time.Second, "duration of the load")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of arrivals and keys")
	flags.IntVar(&f.resends, "resends", 0, "resends of a non-repeatable request that was not answered")
	flags.BoolVar(&f.direct, "direct", false, "entries are backend servers, without a router")
	flags.BoolVar(&f.verbose, "series", false, "include time series and ids of requests not run in the JSON line")
	flags.Float64Var(&f.stream.Rate, "rate", 100, "requests per second (without a file)")
	flags.StringVar(&f.stream.Service, "service", "stock", "service (without a file)")
	flags.StringVar(&f.stream.Method, "method", "GET", "method (without a file)")
	flags.StringVar(&f.stream.Path, "path", "/", "path (without a file)")
	flags.IntVar(&f.stream.KeyCount, "keys", 1000, "number of keys (without a file)")
	flags.Float64Var(&f.stream.ZipfExponent, "skew", 0, "Zipf exponent of the keys (without a file)")
	flags.BoolVar(&f.stream.NonRepeatable, "non-repeatable", false, "send an Idempotency-Key (without a file)")
	flags.IntVar(&f.stream.BodySize, "body-size", 0, "size of the request body in bytes (without a file)")
	flags.DurationVar(&f.timeout, "timeout", 2*time.Second, "timeout of a request (without a file)")
	flags.DurationVar(&f.target, "target", 0, "target latency (without a file)")
	return command
}

// config returns the load of the file, or a single stream built from the flags.
func (f loadFlags) config(c *cobra.Command) (generator.Config, error) {
	var config generator.Config
	if f.file != "" {
		for _, name := range []string{
			"rate", "service", "method", "path", "keys", "skew", "non-repeatable", "body-size", "timeout", "target",
		} {
			if c.Flags().Changed(name) {
				return config, errors.Errorf("--%s can't be used with --file", name)
			}
		}
		if err := loadFile(f.file, &config); err != nil {
			return config, err
		}
	} else {
		f.stream.Name = f.stream.Service
		f.stream.Timeout, f.stream.LatencyTarget = validator.Duration(f.timeout), validator.Duration(f.target)
		config.Streams = []generator.Stream{f.stream}
	}
	useFlag := func(name string) bool { return f.file == "" || c.Flags().Changed(name) }
	if useFlag("duration") {
		config.Duration = validator.Duration(f.duration)
	}
	if useFlag("seed") {
		config.Seed = f.seed
	}
	if useFlag("resends") {
		config.Retries = f.resends
	}
	if useFlag("direct") {
		config.Direct = f.direct
	}
	if !useFlag("entry") {
		return config, nil
	}
	config.Entries = nil
	for _, text := range f.entries {
		entry, err := netip.ParseAddrPort(text)
		if err != nil {
			return config, errors.Wrap(err, "entry")
		}
		config.Entries = append(config.Entries, entry)
	}
	return config, nil
}

// writeReport writes the report as a table, followed by one line of JSON.
func writeReport(w io.Writer, report generator.Report, verbose bool) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "stream\trank\tsent\tanswered\tnot run\tunknown\toverflow\tin target\tcrossed\ttruncated\tp50 ms\tp99 ms\tmax ms\tlag p99 ms\t")
	for _, s := range report.Streams {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Name, s.Rank, s.Sent,
			s.Answered, s.NotRun, s.Unknown, s.Overflow, s.WithinTarget, s.Mismatched, s.Truncated, s.Latency.P50,
			s.Latency.P99, s.Latency.Max, s.SendLag.P99)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if !verbose {
		report.NotRunIDs = nil
		for i := range report.Streams {
			report.Streams[i].Series = nil
		}
	}
	data, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return errors.Wrap(err, "write report")
}
