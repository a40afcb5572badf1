package operator

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hibiscusline/applier"
	"hibiscusline/reporter"
)

// maxAsked bounds the admin endpoints that are asked at a time.
const maxAsked = 64

// row is what status shows of one member.
type row struct {
	Address netip.AddrPort   `json:"address"`
	Member  applier.MemberID `json:"member"`
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Service string           `json:"service"`
	// Assigned is the number of ranges that the log gives to the member.
	Assigned int `json:"assigned"`
	// Status is what the member answered, or absent.
	Status *reporter.Status `json:"status,omitempty"`
	Lag    applier.Offset   `json:"lag"`
	Error  string           `json:"error,omitempty"`
}

type statusReport struct {
	// Version is the configuration version in force, and Newest the last offset, in the log or at any member asked.
	Version applier.Offset `json:"version"`
	Newest  applier.Offset `json:"newest"`
	Members []row          `json:"members"`
}

func (s *session) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status [ADDRESS...]",
		Short: "Show version, applied offset, lag, lease and ranges of every member",
		Long: "Asks the admin endpoint of every member that the log names. With addresses it asks these and doesn't read the\n" +
			"log, which helps during an outage of the log. LAG counts records behind the newest offset known.",
		Example: "  hibiscusctl status --log 10.0.9.1:7500\n" +
			"  hibiscusctl status 10.0.1.11:7300 10.0.2.11:7300",
		RunE: s.bounded(func(ctx context.Context, args []string) error {
			report, err := s.members(ctx, args)
			if err != nil {
				return err
			}
			s.ask(ctx, report.Members)
			report.finish()
			return s.print(report, report.text())
		}),
	}
}

// members lists the members to ask, from the arguments or from the log.
func (s *session) members(ctx context.Context, addresses []string) (statusReport, error) {
	report := statusReport{Members: []row{}}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return report, badInput("address is %q; allowed: an IP address with port, such as 10.0.1.11:7300", text)
		}
		report.Members = append(report.Members, row{Address: address})
	}
	if len(addresses) > 0 {
		return report, nil
	}
	if err := s.load(ctx); err != nil {
		return report, err
	}
	s.follower.View(func(state *applier.State) {
		report.Version, report.Newest = state.Version, state.Applied
		owned := map[applier.MemberID]int{}
		for _, assignments := range state.Assignments {
			for _, a := range assignments {
				owned[a.Owner]++
			}
		}
		for _, m := range state.MembersOf("") {
			report.Members = append(report.Members, row{
				Address: m.Admin, Member: m.ID, Name: m.Name, Zone: m.Zone, Service: m.Service, Assigned: owned[m.ID],
			})
		}
	})
	return report, nil
}

// ask asks every member for its status. It keeps a tenth of the time for the output.
func (s *session) ask(ctx context.Context, rows []row) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout*9/10)
	defer cancel()
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxAsked)
	for i := range rows {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			one, cancel := context.WithTimeout(ctx, s.timeout/3)
			defer cancel()
			rows[i].ask(one)
		})
	}
	wait.Wait()
}

func (r *row) ask(ctx context.Context) {
	status, err := askStatus(ctx, r.Address)
	switch {
	case err != nil:
		r.Error = err.Error()
	case r.Member != 0 && status.Member != r.Member:
		r.Error = fmt.Sprintf("address is now used by member %s", status.Member)
	default:
		r.Status = &status
		r.Member, r.Name, r.Zone, r.Service = status.Member, status.Name, status.Zone, status.Service
	}
}

func (r *statusReport) finish() {
	for _, m := range r.Members {
		if m.Status != nil {
			r.Newest, r.Version = max(r.Newest, m.Status.Applied), max(r.Version, m.Status.Version)
		}
	}
	for i := range r.Members {
		if m := &r.Members[i]; m.Status != nil {
			m.Lag = r.Newest - m.Status.Applied
		}
	}
}

func (r *statusReport) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d in force, newest offset %d, %d members\n", r.Version, r.Newest, len(r.Members))
	if len(r.Members) == 0 {
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tMEMBER\tZONE\tSERVICE\tVERSION\tAPPLIED\tLAG\tLEASE\tRANGES\tPROBLEM")
	silent := 0
	for _, m := range r.Members {
		if m.Status == nil {
			silent++
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t%d assigned\t%s\n", cell(m.Name), m.Member, cell(m.Zone), cell(m.Service),
				m.Assigned, cell(m.Error))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\n", cell(m.Name), m.Member, cell(m.Zone), cell(m.Service),
			m.Status.Version, m.Status.Applied, m.Lag, leaseText(m.Status.Lease), len(m.Status.Owned), m.problem(r.Version))
	}
	_ = w.Flush()
	if silent > 0 {
		fmt.Fprintf(&b, "%d of %d members gave no status\n", silent, len(r.Members))
	}
	return b.String()
}

func (r *row) problem(version applier.Offset) string {
	var problems []string
	if r.Status.Version != version {
		problems = append(problems, "old version")
	}
	if !r.Status.Lease.Held && !r.Status.Lease.Exempt {
		problems = append(problems, "not serving")
	}
	if r.Status.Draining {
		problems = append(problems, "draining")
	}
	return cell(strings.Join(problems, ", "))
}

func leaseText(l reporter.Lease) string {
	switch {
	case l.Exempt:
		return "exempt"
	case l.Held:
		return "held " + strconv.FormatInt(l.RemainingMs, 10) + "ms"
	}
	return "lapsed"
}
