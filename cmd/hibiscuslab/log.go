package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/emulator"
)

func newLogCommand() *cobra.Command {
	var address, settings string
	var seed uint64
	command := &cobra.Command{
		Use:   "log",
		Short: "Run an emulator of the platform's log service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := emulator.NewLog(emulator.LogConfig{Seed: seed})
			if err := applySettings(settings, l.ChangeJSON); err != nil {
				return err
			}
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			newLogger().Log("msg", "log service listens", "address", listener.Addr())
			return serve(c.Context(), listener, l)
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:9400", "address to listen on")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of random faults")
	command.Flags().StringVar(&settings, "settings", "", `settings as JSON, as in POST /control, such as {"retain_for":"1m"}`)
	return command
}

// applySettings passes settings in JSON with comments to apply as plain JSON. It does nothing if the text is empty.
func applySettings(text string, apply func([]byte) error) error {
	if text == "" {
		return nil
	}
	data, err := standardize([]byte(text))
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(apply(data), "settings")
}

// serve serves HTTP until the context ends. Then it closes all connections.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
