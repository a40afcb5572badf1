// Command hibiscusctl publishes configuration and operates a hibiscusline cluster.
package main

import (
	"context"
	"os"
	"os/signal"

	"golang.org/x/sys/unix"

	"hibiscusline/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, unix.SIGTERM)
	code := operator.Run(ctx, operator.Config{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(int(code))
}
