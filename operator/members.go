package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/applier"
	"hibiscusline/hasher"
	"hibiscusline/reporter"
)

// findMember returns the member with an id or a name. If several members have the name, such as a lost incarnation and
// its successor, it returns an error with their ids.
func (s *session) findMember(idOrName string) (applier.Member, error) {
	var found []applier.Member
	s.follower.View(func(state *applier.State) {
		for _, m := range state.MembersOf("") {
			if m.ID.String() == idOrName {
				found = []applier.Member{*m}
				return
			}
			if m.Name == idOrName {
				found = append(found, *m)
			}
		}
	})
	switch len(found) {
	case 0:
		return applier.Member{}, badInput("no member has the id or name %q; see status", idOrName)
	case 1:
		return found[0], nil
	}
	ids := make([]string, len(found))
	for i, m := range found {
		ids[i] = m.ID.String()
	}
	return applier.Member{}, badInput("%d members have the name %q; give one of the ids %s", len(found), idOrName, strings.Join(ids, ", "))
}

// adminAddress returns the admin address of a member. If the argument is an address, it returns it without reading
// the log.
func (s *session) adminAddress(ctx context.Context, memberOrAddress string) (netip.AddrPort, error) {
	if address, err := netip.ParseAddrPort(memberOrAddress); err == nil {
		return address, nil
	}
	if err := s.loadState(ctx); err != nil {
		return netip.AddrPort{}, err
	}
	m, err := s.findMember(memberOrAddress)
	return m.Admin, err
}

func (s *session) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "dump MEMBER|ADDRESS",
		Short:   "Print the internal state of a process",
		Long:    "Prints the JSON that the process returns for GET /dump. With an address the log is not read.",
		Example: "  hibiscusctl dump stock-a-1 --log 10.0.9.1:7500\n  hibiscusctl dump 10.0.1.11:7300",
		Args:    cobra.ExactArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			address, err := s.adminAddress(ctx, args[0])
			if err != nil {
				return err
			}
			data, err := callAdmin(ctx, address, http.MethodGet, "/dump", nil)
			if err != nil {
				return err
			}
			if !json.Valid(data) {
				return rejected("dump of %s is not JSON", address)
			}
			return s.printJSON(json.RawMessage(data))
		}),
	}
}

// operationReport is the JSON output of an operation on a member.
type operationReport struct {
	Operation string           `json:"operation"`
	Member    applier.MemberID `json:"member,omitempty"`
	Address   netip.AddrPort   `json:"address,omitzero"`
	Service   string           `json:"service,omitempty"`
	Range     *hasher.Range    `json:"range,omitempty"`
	To        applier.MemberID `json:"to,omitempty"`
	Offset    applier.Offset   `json:"offset,omitempty"`
}

func (s *session) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain MEMBER|ADDRESS",
		Short: "Make a process hand over its ranges and take no new work",
		Long: "Asks a process to stop taking new work, finish the requests in flight and move its ranges to others. The\n" +
			"process keeps running; follow it with status.",
		Example: "  hibiscusctl drain stock-a-1 --log 10.0.9.1:7500",
		Args:    cobra.ExactArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			address, err := s.adminAddress(ctx, args[0])
			if err != nil {
				return err
			}
			if _, err := callAdmin(ctx, address, http.MethodPost, "/drain", nil); err != nil {
				return err
			}
			return s.print(operationReport{Operation: "drain", Address: address}, fmt.Sprintf("%s at %s is draining\n", args[0], address))
		}),
	}
}

func (s *session) moveCommand() *cobra.Command {
	var service, key, to string
	c := &cobra.Command{
		Use:   "move --service S --key K --to MEMBER",
		Short: "Move the range of a key to another member",
		Long: "Asks the present owner of a key to move the whole range that contains it. Requests for the range wait while it\n" +
			"moves.",
		Example: "  hibiscusctl move --service stock-lookup --key batting-wool-queen --to stock-b-1 --log 10.0.9.1:7500",
		Args:    cobra.NoArgs,
		RunE: s.withTimeout(func(ctx context.Context, _ []string) error {
			if err := s.loadState(ctx); err != nil {
				return err
			}
			return s.move(ctx, service, key, to)
		}),
	}
	for name, value := range map[string]*string{"service": &service, "key": &key, "to": &to} {
		c.Flags().StringVar(value, name, "", "required")
		if err := c.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return c
}

func (s *session) move(ctx context.Context, service, key, to string) error {
	target, err := s.findMember(to)
	if err != nil {
		return err
	}
	if target.Service != service || target.Status != applier.Active {
		return badInput("member %s is %s and serves %q; allowed: an active member of %q", target.ID, target.Status, target.Service, service)
	}
	position := hasher.KeyPosition(key)
	var assignment applier.Assignment
	var found bool
	var owner applier.Member
	s.follower.View(func(state *applier.State) {
		if assignment, found = state.Lookup(service, position); !found {
			return
		}
		if m, present := state.Members[assignment.Owner]; present {
			owner = *m
		}
	})
	switch {
	case !found:
		return badInput("service %q has no ranges: it is not a keyed service in force", service)
	case owner.ID == 0:
		return rejected("range %s has no owner", assignment.Range)
	}
	o := operationReport{Operation: "move", Member: owner.ID, Service: service, Range: &assignment.Range, To: target.ID}
	if owner.ID == target.ID {
		return s.print(o, fmt.Sprintf("range %s of %s belongs to %s already\n", assignment.Range, service,
			quoteUnprintable(owner.Name)))
	}
	request := reporter.MoveRequest{Service: service, Position: position, To: target.ID}
	if _, err := callAdmin(ctx, owner.Admin, http.MethodPost, "/move", request); err != nil {
		return err
	}
	return s.print(o, fmt.Sprintf("range %s of %s moves from %s to %s\n", assignment.Range, service, quoteUnprintable(owner.Name), quoteUnprintable(target.Name)))
}

// probeTimeout bounds the check whether a member still responds.
const probeTimeout = 3 * time.Second

const evictWarning = "evict gives the ranges of the member to others at once, without waiting for its lease. If its process still runs, two\n" +
	"servers own the same keys."

func (s *session) evictCommand() *cobra.Command {
	var operator, id string
	var confirmed bool
	c := &cobra.Command{
		Use:   "evict MEMBER --as NAME --confirm-stopped",
		Short: "Remove a member whose process is certainly stopped",
		Long: evictWarning + "\n\nUse it only when guardians can't take over, and only after the process was ended or its machine was\n" +
			"switched off. A member that still answers on its admin endpoint is not evicted.",
		Example: "  hibiscusctl evict 00c0ffee00c0ffee --as liis --confirm-stopped --log 10.0.9.1:7500",
		Args:    cobra.ExactArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			if !confirmed {
				return badInput("--confirm-stopped is missing. %s", evictWarning)
			}
			if err := s.loadState(ctx); err != nil {
				return err
			}
			return s.evict(ctx, id, args[0], operator)
		}),
	}
	addOperatorFlag(c, &operator)
	addIDFlag(c, &id)
	c.Flags().BoolVar(&confirmed, "confirm-stopped", false, "you made sure that the process is stopped and can't resume")
	return c
}

func (s *session) evict(ctx context.Context, id, name, operator string) error {
	if err := s.requireOperator(operator); err != nil {
		return err
	}
	m, err := s.findMember(name)
	if err != nil {
		return err
	}
	if err := requireUnreachable(ctx, m); err != nil {
		return err
	}
	result, err := s.commit(ctx, id, applier.Evict{Member: m.ID, Operator: operator})
	if err != nil {
		return err
	}
	return s.print(operationReport{Operation: "evict", Member: m.ID, Offset: result.Offset},
		fmt.Sprintf("member %s (%s) was removed at offset %d; its ranges have new owners\n", m.ID, quoteUnprintable(m.Name), result.Offset))
}

func (s *session) requireOperator(name string) error {
	var operators []string
	s.follower.View(func(state *applier.State) {
		if state.Configuration != nil {
			operators = slices.Clone(state.Configuration.Policy.Operators)
		}
	})
	if len(operators) > 0 && !slices.Contains(operators, name) {
		return rejected("%q is not an operator of the configuration in force", name)
	}
	return nil
}

// requireUnreachable returns an error if a member responds on its admin endpoint. A response of another incarnation
// shows that the member's process has ended.
func requireUnreachable(ctx context.Context, m applier.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := fetchStatus(ctx, m.Admin)
	switch {
	case err == nil && status.Member != m.ID:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return rejected("interrupted before the record was appended")
	case errors.Is(err, errNoResponse):
		return nil
	}
	return rejected("member %s answers at %s, so its process is not stopped", m.ID, m.Admin)
}
