package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/appender"
	"hibiscusline/applier"
	"hibiscusline/follower"
)

// Config holds the outputs of a command.
type Config struct {
	Out io.Writer
	Err io.Writer
}

// Run runs the command in args, which don't include the program name, and returns its exit code. Errors are written to
// c.Err.
func Run(ctx context.Context, c Config, args []string) Code {
	s := &session{out: c.Out}
	root := s.root()
	root.SetArgs(args)
	root.SetOut(c.Out)
	root.SetErr(c.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Done
	}
	code := CodeOf(err)
	if s.output == "json" {
		s.out = c.Err
		_ = s.printJSON(struct {
			Code    Code   `json:"code"`
			Message string `json:"message"`
		}{code, err.Error()})
		return code
	}
	fmt.Fprintf(c.Err, "hibiscusctl: %s: %s\n", code, err)
	return code
}

// session holds the global flags and the log client of one command.
type session struct {
	out        io.Writer
	logAddress string
	stream     string
	output     string
	timeout    time.Duration

	client   *appender.Client
	follower *follower.Follower
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "hibiscusctl",
		Short: "Publish configuration and operate a hibiscusline cluster",
		Long: "hibiscusctl publishes configuration to the log, shows what is in force, and operates members.\n\n" +
			"Exit codes: 0 done, 1 rejected or refused, 2 usage or bad input, 3 log not reachable.",
		SilenceErrors:     true,
		SilenceUsage:      true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return s.checkFlags() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&s.logAddress, "log", "", "address of the log service, such as 10.0.9.1:7500")
	flags.StringVar(&s.stream, "stream", "hibiscusline", "stream of the log")
	flags.StringVar(&s.output, "output", "text", "text or json")
	flags.DurationVar(&s.timeout, "timeout", 10*time.Second, "longest time that the command waits")
	root.AddCommand(
		s.validateCommand(), s.diffCommand(), s.proposeCommand(), s.approveCommand(), s.rejectCommand(), s.historyCommand(),
		s.statusCommand(), s.dumpCommand(), s.drainCommand(), s.moveCommand(), s.evictCommand(),
		s.evacuateCommand(), s.restoreCommand(),
	)
	return root
}

func (s *session) checkFlags() error {
	if s.output != "text" && s.output != "json" {
		return badInput("--output is %q; allowed: text, json", s.output)
	}
	if s.timeout <= 0 {
		return badInput("--timeout is %s; allowed: a positive duration", s.timeout)
	}
	if s.stream == "" {
		return badInput("--stream is empty; allowed: the name of a stream")
	}
	return nil
}

// withTimeout adds the --timeout to the context of a command, and closes the log client after the command.
func (s *session) withTimeout(run func(ctx context.Context, args []string) error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(c.Context(), s.timeout)
		defer cancel()
		defer s.close()
		return run(ctx, args)
	}
}

func (s *session) close() {
	if s.client != nil {
		s.client.Close()
	}
}

// loadState connects to the log and reads the whole state from it.
func (s *session) loadState(ctx context.Context) error {
	if s.logAddress == "" {
		return badInput("--log is missing; allowed: the address of the log service, such as 10.0.9.1:7500")
	}
	address, err := netip.ParseAddrPort(s.logAddress)
	if err != nil {
		return badInput("--log is %q; allowed: an IP address with port, such as 10.0.9.1:7500", s.logAddress)
	}
	s.client = appender.New(appender.Config{Address: address, Stream: s.stream, Timeout: s.timeout})
	s.follower, err = appender.Load(ctx, s.client)
	if err != nil {
		return &Error{Code: Unreachable, Err: errors.Wrapf(err, "log at %s", address)}
	}
	return nil
}

// commit appends a record and waits until it is applied. With the id of an earlier attempt an operator can repeat a
// command whose outcome is unknown; an empty id is replaced by a random one.
func (s *session) commit(ctx context.Context, id string, r applier.Record) (applier.Result, error) {
	e := appender.NewEnvelope(r)
	if id != "" {
		e.ID = id
	}
	result, err := s.findResult(e.ID), error(nil)
	if result.Offset == 0 {
		result, err = appender.Commit(ctx, s.client, s.follower, e)
	}
	if err != nil {
		err = errors.Wrapf(err, "outcome not known; repeat the command with --id %s, which takes effect at most once", e.ID)
		return result, &Error{Code: Unreachable, Err: err}
	}
	if result.Kind != applier.KindOf(r) {
		return result, rejected("id %s belongs to the %s record at offset %d", e.ID, result.Kind, result.Offset)
	}
	if !result.Accepted {
		return result, rejected("the log's record at offset %d was not accepted: %s", result.Offset, result.Reason)
	}
	return result, nil
}

// findResult returns the result of the record with an id, or the zero value if the record is not in the log.
func (s *session) findResult(id string) applier.Result {
	var result applier.Result
	s.follower.View(func(state *applier.State) { result, _ = state.ResultOf(id) })
	return result
}

func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// print writes the value as JSON or the text, depending on --output.
func (s *session) print(value any, text string) error {
	if s.output == "json" {
		return s.printJSON(value)
	}
	_, err := io.WriteString(s.out, text)
	return err
}

// quoteUnprintable quotes text from the log if it contains unprintable characters, which a terminal could interpret as
// control sequences.
func quoteUnprintable(text string) string {
	for _, r := range text {
		if !strconv.IsPrint(r) {
			return strconv.Quote(text)
		}
	}
	return text
}

func addOperatorFlag(c *cobra.Command, name *string) {
	c.Flags().StringVar(name, "as", "", "name of the operator (required)")
	if err := c.MarkFlagRequired("as"); err != nil {
		panic(err)
	}
}

func addIDFlag(c *cobra.Command, id *string) {
	c.Flags().StringVar(id, "id", "", "record id of an earlier attempt whose outcome is not known")
}
