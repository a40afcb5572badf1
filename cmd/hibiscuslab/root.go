package main

import (
	"os"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"
)

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "hibiscuslab",
		Short:        "Test tools of hibiscusline",
		SilenceUsage: true,
	}
	root.AddCommand(newTableCommand(), newCapacityCommand(),
		newLogCommand(), newServerCommand(), newLoadCommand(), newExperimentCommand(), newDaemonCommand(), newDemoCommand(),
		newCertificatesCommand(), newReportCommand(), newResultsCommand(), newSoakCommand(),
	)
	return root
}

func newLogger() log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestampUTC)
}
