package main

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/transporter"
)

func newCertificatesCommand() *cobra.Command {
	var directory string
	var names []string
	var validity time.Duration
	c := &cobra.Command{
		Use:     "certificates",
		Short:   "Write a new authority and certificates of processes for a trial",
		Example: "  hibiscuslab certificates --directory /tmp/trial --name stock-a-1,stock-b-1",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := os.MkdirAll(directory, 0o700); err != nil {
				return errors.Wrap(err, "directory")
			}
			authority, err := transporter.NewCertificateAuthority(validity)
			if err != nil {
				return err
			}
			for _, name := range names {
				files, err := authority.Issue(directory, name, validity)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintln(c.OutOrStdout(), files.Authority, files.Certificate, files.Key); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&directory, "directory", ".", "directory for the PEM files")
	c.Flags().StringSliceVar(&names, "name", []string{"process"}, "names of the processes")
	c.Flags().DurationVar(&validity, "for", 30*24*time.Hour, "validity of the certificates")
	return c
}
