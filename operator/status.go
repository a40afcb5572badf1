package operator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"hibiscusline/applier"
	"hibiscusline/reporter"
)

// maxConcurrentRequests bounds the number of status requests to admin endpoints at a time.
const maxConcurrentRequests = 64

// memberStatus is the output of the command status for one member.
type memberStatus struct {
	Address netip.AddrPort   `json:"address"`
	Member  applier.MemberID `json:"member"`
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Service string           `json:"service"`
	// Assigned is the number of ranges that are assigned to the member in the log.
	Assigned int `json:"assigned"`
	// Status is the response of the member, or nil if there was none.
	Status *reporter.Status `json:"status,omitempty"`
	Lag    applier.Offset   `json:"lag"`
	Error  string           `json:"error,omitempty"`
}

type statusReport struct {
	// Version is the highest configuration version, and Newest the highest offset, in the log or at any queried member.
	Version applier.Offset `json:"version"`
	Newest  applier.Offset `json:"newest"`
	// EvacuatedZones is the list in the log or, without it, that of the member that has applied most.
	EvacuatedZones []string       `json:"evacuated_zones,omitempty"`
	Members        []memberStatus `json:"members"`
}

func (s *session) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status [ADDRESS...]",
		Short: "Show version, applied offset, lag, lease and ranges of every member",
		Long: "Asks the admin endpoint of every member that the log names. With addresses it asks these and doesn't read the\n" +
			"log, which helps during an outage of the log. LAG counts records behind the newest offset known.",
		Example: "  hibiscusctl status --log 10.0.9.1:7500\n" +
			"  hibiscusctl status 10.0.1.11:7300 10.0.2.11:7300",
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			report, err := s.listMembers(ctx, args)
			if err != nil {
				return err
			}
			s.fetchStatuses(ctx, report.Members)
			report.computeLag()
			return s.print(report, report.format())
		}),
	}
}

// listMembers lists the members to query, from the arguments or from the log.
func (s *session) listMembers(ctx context.Context, addresses []string) (statusReport, error) {
	report := statusReport{Members: []memberStatus{}}
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return report, badInput("address is %q; allowed: an IP address with port, such as 10.0.1.11:7300", text)
		}
		report.Members = append(report.Members, memberStatus{Address: address})
	}
	if len(addresses) > 0 {
		return report, nil
	}
	if err := s.loadState(ctx); err != nil {
		return report, err
	}
	s.follower.View(func(state *applier.State) {
		report.Version, report.Newest, report.EvacuatedZones = state.Version, state.Applied, state.EvacuatedZones()
		owned := map[applier.MemberID]int{}
		for _, assignments := range state.Assignments {
			for _, a := range assignments {
				owned[a.Owner]++
			}
		}
		for _, m := range state.MembersOf("") {
			report.Members = append(report.Members, memberStatus{
				Address: m.Admin, Member: m.ID, Name: m.Name, Zone: m.Zone, Service: m.Service, Assigned: owned[m.ID],
			})
		}
	})
	return report, nil
}

// fetchStatuses queries the status of every member. It leaves a tenth of the timeout for the output.
func (s *session) fetchStatuses(ctx context.Context, rows []memberStatus) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout*9/10)
	defer cancel()
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for i := range rows {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			requestCtx, cancel := context.WithTimeout(ctx, s.timeout/3)
			defer cancel()
			rows[i].fetch(requestCtx)
		})
	}
	wait.Wait()
}

func (r *memberStatus) fetch(ctx context.Context) {
	status, err := fetchStatus(ctx, r.Address)
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

// computeLag sets Newest and Version to the highest values of all members, EvacuatedZones to the newest list, and Lag of
// each member.
func (r *statusReport) computeLag() {
	for _, m := range r.Members {
		if m.Status != nil {
			if m.Status.Applied > r.Newest {
				r.EvacuatedZones = m.Status.EvacuatedZones
			}
			r.Newest, r.Version = max(r.Newest, m.Status.Applied), max(r.Version, m.Status.Version)
		}
	}
	for i := range r.Members {
		if m := &r.Members[i]; m.Status != nil {
			m.Lag = r.Newest - m.Status.Applied
		}
	}
}

func (r *statusReport) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d in force, newest offset %d, %d members\n", r.Version, r.Newest, len(r.Members))
	b.WriteString(formatZones(r.EvacuatedZones))
	if len(r.Members) == 0 {
		return b.String()
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tMEMBER\tZONE\tSERVICE\tVERSION\tAPPLIED\tLAG\tLEASE\tRANGES\tPROBLEM")
	unreachable := 0
	for _, m := range r.Members {
		if m.Status == nil {
			unreachable++
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t%d assigned\t%s\n", formatCell(m.Name), m.Member, formatCell(m.Zone), formatCell(m.Service),
				m.Assigned, formatCell(m.Error))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\n", formatCell(m.Name), m.Member, formatCell(m.Zone),
			formatCell(m.Service), m.Status.Version, m.Status.Applied, m.Lag, formatLease(m.Status.Lease), len(m.Status.Owned),
			m.problem(r))
	}
	_ = w.Flush()
	if unreachable > 0 {
		fmt.Fprintf(&b, "%d of %d members gave no status\n", unreachable, len(r.Members))
	}
	return b.String()
}

func (r *memberStatus) problem(report *statusReport) string {
	var problems []string
	if r.Status.Version != report.Version {
		problems = append(problems, "old version")
	}
	if !r.Status.Lease.Held && !r.Status.Lease.Exempt {
		problems = append(problems, "not serving")
	}
	if r.Status.Draining {
		problems = append(problems, "draining")
	}
	if slices.Contains(report.EvacuatedZones, r.Zone) {
		problems = append(problems, "evacuated")
	}
	return formatCell(strings.Join(problems, ", "))
}

func formatLease(l reporter.Lease) string {
	switch {
	case l.Exempt:
		return "exempt"
	case l.Held:
		return "held " + strconv.FormatInt(l.RemainingMs, 10) + "ms"
	}
	return "lapsed"
}
