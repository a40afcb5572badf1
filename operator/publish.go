package operator

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"hibiscusline/applier"
	"hibiscusline/validator"
)

func readConfiguration(path string) (validator.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return validator.Configuration{}, &Error{Code: BadInput, Err: errors.Wrap(err, "read configuration")}
	}
	c, err := validator.Parse(data)
	if err != nil {
		return c, &Error{Code: BadInput, Err: errors.Errorf("%s can't be used:\n%s", path, err)}
	}
	return c, nil
}

func parseOffset(text string) (applier.Offset, error) {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 {
		return 0, badInput("offset is %q; allowed: a whole number of 1 or more, as history shows", text)
	}
	return applier.Offset(value), nil
}

func (s *session) validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a configuration file",
		Long:    "Checks a configuration file as a unit and reports every problem. It doesn't read the log.",
		Example: "  hibiscusctl validate settings/vatilaane.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := readConfiguration(args[0])
			if err != nil {
				return err
			}
			return s.print(c, fmt.Sprintf("%s is valid: %d services, %d ranks, %d rules, %d key ranges, %d placements\n", args[0],
				len(c.Services), len(c.Ranks), len(c.Rules), len(c.KeyRanges), len(c.Placements)))
		},
	}
}

// diffReport is the JSON output of a diff.
type diffReport struct {
	// Version is the version of the configuration in force, against which the changes are computed.
	Version applier.Offset     `json:"version"`
	Changes []validator.Change `json:"changes"`
}

func (s *session) diffCommand() *cobra.Command {
	var proposal string
	c := &cobra.Command{
		Use:   "diff FILE | diff --proposal OFFSET",
		Short: "Show what a file or a pending proposal would change",
		Long:  "Shows every field that would change against the configuration in force, as read from the log.",
		Example: "  hibiscusctl diff settings/vatilaane.json --log 10.0.9.1:7500\n" +
			"  hibiscusctl diff --proposal 4711 --log 10.0.9.1:7500",
		Args: cobra.MaximumNArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			if (len(args) == 1) == (proposal != "") {
				return badInput("diff needs either a file or --proposal")
			}
			if proposal != "" {
				return s.diffProposal(ctx, proposal)
			}
			return s.diffFile(ctx, args[0])
		}),
	}
	c.Flags().StringVar(&proposal, "proposal", "", "offset of a pending proposal")
	return c
}

func (s *session) diffFile(ctx context.Context, path string) error {
	wanted, err := readConfiguration(path)
	if err != nil {
		return err
	}
	if err := s.loadState(ctx); err != nil {
		return err
	}
	return s.printDiff(s.diffWithCurrent(wanted))
}

func (s *session) diffProposal(ctx context.Context, text string) error {
	offset, err := parseOffset(text)
	if err != nil {
		return err
	}
	if err := s.loadState(ctx); err != nil {
		return err
	}
	report, err := s.proposalDiff(offset)
	if err != nil {
		return err
	}
	return s.printDiff(report)
}

func (s *session) proposalDiff(offset applier.Offset) (diffReport, error) {
	var found *applier.Proposal
	s.follower.View(func(state *applier.State) {
		for _, p := range state.Proposals {
			if p.Offset == offset {
				found = &p
			}
		}
	})
	switch {
	case found == nil:
		return diffReport{}, rejected("there is no proposal at offset %d", offset)
	case found.Status != applier.Pending || found.Configuration == nil:
		return diffReport{}, rejected("the proposal at offset %d is %s", offset, found.Status)
	}
	return s.diffWithCurrent(*found.Configuration), nil
}

func (s *session) diffWithCurrent(wanted validator.Configuration) diffReport {
	report := diffReport{Changes: []validator.Change{}}
	s.follower.View(func(state *applier.State) {
		report.Version = state.Version
		var inForce validator.Configuration
		if state.Configuration != nil {
			inForce = *state.Configuration
		}
		report.Changes = append(report.Changes, validator.Diff(inForce, wanted)...)
	})
	return report
}

func (s *session) printDiff(report diffReport) error {
	return s.print(report, fmt.Sprintf("against version %d in force:\n%s", report.Version, validator.Render(report.Changes)))
}

// proposalReport is the JSON output for the status of a proposal.
type proposalReport struct {
	Offset  applier.Offset         `json:"offset"`
	Status  applier.ProposalStatus `json:"status"`
	Version applier.Offset         `json:"version,omitempty"`
	Changes []validator.Change     `json:"changes,omitempty"`
}

func (s *session) changesFromCurrent(wanted validator.Configuration) (changes validator.Changes) {
	s.follower.View(func(state *applier.State) { changes = validator.ChangesBetween(*state.Configuration, wanted) })
	return changes
}

func (s *session) proposeCommand() *cobra.Command {
	var operator, comment, id string
	var base uint64
	c := &cobra.Command{
		Use:   "propose FILE --as NAME",
		Short: "Publish a configuration",
		Long: "Publishes a configuration file as a proposal. Depending on the policy in force it takes effect immediately or\n" +
			"waits for the approval of another operator. A file that changes nothing is not published.",
		Example: "  hibiscusctl propose settings/vatilaane.json --as liis --comment \"raise the floor of orders\" --log 10.0.9.1:7500",
		Args:    cobra.ExactArgs(1),
	}
	c.RunE = s.withTimeout(func(ctx context.Context, args []string) error {
		wanted, err := readConfiguration(args[0])
		if err != nil {
			return err
		}
		if err := s.loadState(ctx); err != nil {
			return err
		}
		report := s.diffWithCurrent(wanted)
		if len(report.Changes) == 0 {
			return s.print(report, fmt.Sprintf("no changes against version %d in force; nothing was proposed\n", report.Version))
		}
		if !c.Flags().Changed("base") {
			base = uint64(report.Version)
		}
		record := applier.Propose{Author: operator, Base: applier.Offset(base), Comment: comment, Configuration: wanted}
		if report.Version > 0 && record.Base == report.Version {
			changes := s.changesFromCurrent(wanted)
			record.Configuration, record.Changes = validator.Configuration{}, &changes
		}
		return s.propose(ctx, id, report, record)
	})
	addOperatorFlag(c, &operator)
	addIDFlag(c, &id)
	c.Flags().StringVar(&comment, "comment", "", "reason for the change, kept in the history")
	c.Flags().Uint64Var(&base, "base", 0, "version that the file was made from (default: the version in force)")
	return c
}

func (s *session) propose(ctx context.Context, id string, report diffReport, r applier.Propose) error {
	repeated := s.findResult(id).Offset > 0
	result, err := s.commit(ctx, id, r)
	if err != nil {
		return err
	}
	proposal := s.proposalReportAt(result.Offset)
	text := fmt.Sprintf("proposal %d is %s\n", proposal.Offset, proposal.Status)
	if repeated {
		// The file may differ from the one that was proposed with this id, so its changes are not shown.
		text = fmt.Sprintf("id %s was in the log already\n", quoteUnprintable(id)) + text
	} else {
		proposal.Changes = report.Changes
		text = validator.Render(report.Changes) + text
	}
	if proposal.Status == applier.Pending {
		text += fmt.Sprintf("another operator can read it with \"diff --proposal %d\" and put it in force with \"approve %d\"\n", proposal.Offset, proposal.Offset)
	}
	return s.print(proposal, text)
}

func (s *session) proposalReportAt(offset applier.Offset) proposalReport {
	proposal := proposalReport{Offset: offset}
	s.follower.View(func(state *applier.State) {
		for _, p := range state.Proposals {
			if p.Offset == offset {
				proposal.Status, proposal.Version = p.Status, p.Version
			}
		}
	})
	return proposal
}

func (s *session) approveCommand() *cobra.Command {
	var operator, id string
	c := &cobra.Command{
		Use:     "approve OFFSET --as NAME",
		Short:   "Put a pending proposal in force",
		Long:    "Puts a pending proposal in force. Its author can't approve it. Read it first with diff --proposal.",
		Example: "  hibiscusctl approve 4711 --as tormi --log 10.0.9.1:7500",
		Args:    cobra.ExactArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			return s.decide(ctx, id, args[0], func(o applier.Offset) applier.Record {
				return applier.Approve{Operator: operator, Proposal: o}
			})
		}),
	}
	addOperatorFlag(c, &operator)
	addIDFlag(c, &id)
	return c
}

func (s *session) rejectCommand() *cobra.Command {
	var operator, comment, id string
	c := &cobra.Command{
		Use:     "reject OFFSET --as NAME",
		Short:   "End a pending proposal",
		Long:    "Ends a pending proposal without effect. Its author may reject it too, to withdraw it.",
		Example: "  hibiscusctl reject 4711 --as tormi --comment \"the floors add up to 1\" --log 10.0.9.1:7500",
		Args:    cobra.ExactArgs(1),
		RunE: s.withTimeout(func(ctx context.Context, args []string) error {
			return s.decide(ctx, id, args[0], func(o applier.Offset) applier.Record {
				return applier.Reject{Operator: operator, Proposal: o, Comment: comment}
			})
		}),
	}
	addOperatorFlag(c, &operator)
	addIDFlag(c, &id)
	c.Flags().StringVar(&comment, "comment", "", "reason, kept in the history")
	return c
}

func (s *session) decide(ctx context.Context, id, text string, record func(applier.Offset) applier.Record) error {
	offset, err := parseOffset(text)
	if err != nil {
		return err
	}
	if err := s.loadState(ctx); err != nil {
		return err
	}
	if _, err := s.commit(ctx, id, record(offset)); err != nil {
		return err
	}
	proposal := s.proposalReportAt(offset)
	line := fmt.Sprintf("proposal %d is %s", proposal.Offset, proposal.Status)
	if proposal.Version > 0 {
		line += fmt.Sprintf(" from version %d on", proposal.Version)
	}
	return s.print(proposal, line+"\n")
}

func (s *session) historyCommand() *cobra.Command {
	var zones bool
	c := &cobra.Command{
		Use:   "history",
		Short: "List proposals and evacuations with operators and offsets",
		Long: "Lists the proposals that the state keeps, oldest first, with what became of each, and the evacuations of\n" +
			"availability zones. The JSON output is the list of proposals or, with --evacuations, that of the evacuations.",
		Example: "  hibiscusctl history --log 10.0.9.1:7500\n  hibiscusctl history --evacuations --log 10.0.9.1:7500",
		Args:    cobra.NoArgs,
		RunE: s.withTimeout(func(ctx context.Context, _ []string) error {
			if err := s.loadState(ctx); err != nil {
				return err
			}
			proposals, evacuations := []applier.Proposal{}, []applier.Evacuation{}
			s.follower.View(func(state *applier.State) {
				proposals, evacuations = append(proposals, state.Proposals...), append(evacuations, state.AllEvacuations()...)
			})
			if zones {
				return s.print(evacuations, formatEvacuations(evacuations))
			}
			text := formatHistory(proposals)
			if len(evacuations) > 0 {
				text += "\n" + formatEvacuations(evacuations)
			}
			return s.print(proposals, text)
		}),
	}
	c.Flags().BoolVar(&zones, "evacuations", false, "list only evacuations")
	return c
}

func formatEvacuations(evacuations []applier.Evacuation) string {
	if len(evacuations) == 0 {
		return "no evacuations\n"
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tEVACUATED\tBY\tRESTORED\tBY")
	for _, e := range evacuations {
		restored := "-"
		if e.Restored > 0 {
			restored = strconv.FormatUint(uint64(e.Restored), 10)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", formatCell(e.Zone), e.Offset, formatCell(e.Operator), restored, formatCell(e.RestoredBy))
	}
	_ = w.Flush()
	return b.String()
}

func formatHistory(proposals []applier.Proposal) string {
	if len(proposals) == 0 {
		return "no proposals\n"
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tBASE\tSTATUS\tVERSION\tAUTHOR\tDECIDED BY\tCOMMENT\tREASON")
	for _, p := range proposals {
		version := "-"
		if p.Version > 0 {
			version = strconv.FormatUint(uint64(p.Version), 10)
		}
		reason := strings.ReplaceAll(p.Reason, "\n", "; ")
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Offset, p.Base, p.Status, version, formatCell(p.Author), formatCell(p.DecidedBy),
			formatCell(p.Comment), formatCell(reason))
	}
	_ = w.Flush()
	return b.String()
}

func formatCell(text string) string {
	if text == "" {
		return "-"
	}
	return quoteUnprintable(text)
}
