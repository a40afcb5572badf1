package main

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/emulator"
)

func newServerCommand() *cobra.Command {
	var config emulator.ServerConfig
	var address, router, settings string
	var capacity int
	command := &cobra.Command{
		Use:   "server",
		Short: "Run an emulator of one backend server",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if router != "" {
				var err error
				if config.Router, err = netip.ParseAddrPort(router); err != nil {
					return errors.Wrap(err, "router")
				}
			}
			config.Ledger = emulator.NewLedger(capacity)
			server := emulator.NewServer(config)
			if err := applySettings(settings, server.ChangeJSON); err != nil {
				return err
			}
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			newLogger().Log("msg", "backend server listens", "address", listener.Addr(), "service", config.Service, "name", config.Name)
			return server.Run(c.Context(), listener)
		},
	}
	flags := command.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:9500", "address to listen on")
	flags.StringVar(&router, "router", "", "local endpoint of the hibiscusd beside the server; empty for no announcements")
	flags.StringVar(&config.Service, "service", "stock", "name of the service")
	flags.StringVar(&config.Name, "name", "server-1", "name of the server in responses and in the ledger")
	flags.IntVar(&config.Slots, "slots", emulator.DefaultSlots, "requests that run at the same time")
	flags.IntVar(&config.MaxConnections, "connections", emulator.DefaultMaxConnections, "limit of connections")
	flags.BoolVar(&config.Fenced, "fenced", false, "reject requests with an old epoch")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of service times and random faults")
	flags.IntVar(&capacity, "ledger", 0, "executions that the ledger holds; 0 is 1048576")
	flags.StringVar(&settings, "settings", "", `settings as JSON, as in POST /control, such as {"service_time":"2ms"}`)
	return command
}
