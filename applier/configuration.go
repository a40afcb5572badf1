package applier

import (
	"slices"

	"github.com/pkg/errors"

	"hibiscusline/validator"
)

func (s *State) applyPropose(offset Offset, r Propose) error {
	proposal := Proposal{
		Offset: offset, Author: r.Author, Base: r.Base, Comment: r.Comment, Configuration: &r.Configuration,
	}
	err := s.checkProposal(&r)
	switch {
	case err != nil:
		proposal.Status, proposal.Reason, proposal.Configuration = Refused, truncatedReason(err), nil
	case s.Version > 0 && s.Configuration.Policy.RequireApproval:
		proposal.Status = Pending
	default:
		s.activate(offset, &proposal)
	}
	s.Proposals = s.appendProposal(proposal)
	return err
}

// appendProposal returns the proposals with one appended and without the oldest decided ones in excess of maxProposals.
// Pending ones and the one in force are never dropped.
func (s *State) appendProposal(p Proposal) []Proposal {
	list := append(s.Proposals, p)
	for i := 0; len(list) > maxProposals && i < len(list); {
		if list[i].Status == Pending || list[i].Status == InForce {
			i++
			continue
		}
		list = slices.Delete(list, i, i+1)
	}
	return list
}

// checkProposal validates a proposal. If it holds changes, checkProposal first applies them to the configuration in
// force and stores the result in r.Configuration.
func (s *State) checkProposal(r *Propose) error {
	if r.Base != s.Version {
		return errors.Errorf("configuration version %d is in force, the proposal was made from %d", s.Version, r.Base)
	}
	if r.Changes != nil {
		var err error
		if r.Configuration, err = r.Changes.ApplyTo(*s.Configuration); err != nil {
			return err
		}
	}
	if err := validator.Check(r.Configuration); err != nil {
		return err
	}
	if s.Version > 0 && !slices.Contains(s.Configuration.Policy.Operators, r.Author) {
		return errors.Errorf("%q is not an operator of the configuration in force", r.Author)
	}
	if s.pendingCount() >= maxPending {
		return errors.Errorf("%d proposals wait for a decision; approve or reject one first", maxPending)
	}
	return nil
}

func (s *State) pendingCount() int {
	count := 0
	for _, p := range s.Proposals {
		if p.Status == Pending {
			count++
		}
	}
	return count
}

// activate puts the configuration of a proposal in force. Other pending proposals become stale.
func (s *State) activate(offset Offset, p *Proposal) {
	for i := range s.Proposals {
		other := &s.Proposals[i]
		switch {
		case other.Offset == p.Offset:
		case other.Status == Pending:
			other.Status, other.Configuration = Stale, nil
			other.Reason = "another proposal was put in force first"
		case other.Status == InForce:
			other.Status, other.Configuration = Replaced, nil
		}
	}
	p.Status, p.Version = InForce, offset
	s.Configuration, s.Version = p.Configuration, offset
	p.Configuration = nil
	s.reconcileRanges(offset)
}

func (s *State) pendingProposal(offset Offset) (*Proposal, error) {
	i := slices.IndexFunc(s.Proposals, func(p Proposal) bool { return p.Offset == offset })
	if i < 0 {
		return nil, errors.Errorf("there is no proposal at offset %d", offset)
	}
	if s.Proposals[i].Status != Pending {
		return nil, errors.Errorf("the proposal at offset %d is %s", offset, s.Proposals[i].Status)
	}
	return &s.Proposals[i], nil
}

func (s *State) applyApprove(offset Offset, r Approve) error {
	p, err := s.pendingProposal(r.Proposal)
	if err != nil {
		return err
	}
	if r.Operator == p.Author {
		return errors.Errorf("%q proposed the change and can't approve it", r.Operator)
	}
	if !slices.Contains(s.Configuration.Policy.Operators, r.Operator) {
		return errors.Errorf("%q is not an operator of the configuration in force", r.Operator)
	}
	p.DecidedBy = r.Operator
	s.activate(offset, p)
	return nil
}

func (s *State) applyReject(r Reject) error {
	p, err := s.pendingProposal(r.Proposal)
	if err != nil {
		return err
	}
	if !slices.Contains(s.Configuration.Policy.Operators, r.Operator) {
		return errors.Errorf("%q is not an operator of the configuration in force", r.Operator)
	}
	p.Status, p.DecidedBy, p.Reason, p.Configuration = Refused, r.Operator, r.Comment, nil
	return nil
}
