package applier

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"hibiscusline/hasher"
	"hibiscusline/validator"
)

// MaxPieceBytes is the largest part of an encoded state that one checkpoint record holds.
const MaxPieceBytes = 256 << 10

// maxPartialCheckpoints bounds the incomplete checkpoints that a reader holds. A writer that stops before its last
// piece leaves one behind.
const maxPartialCheckpoints = 4

// CheckpointRecords encodes the state and returns it as checkpoint records with the given id, in order.
func (s *State) CheckpointRecords(id string) ([]Checkpoint, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	total := (len(data) + MaxPieceBytes - 1) / MaxPieceBytes
	pieces := make([]Checkpoint, 0, total)
	for i := range total {
		piece := data[i*MaxPieceBytes : min((i+1)*MaxPieceBytes, len(data))]
		pieces = append(pieces, Checkpoint{ID: id, AsOf: s.Applied, Index: i, Total: total, Piece: piece})
	}
	return pieces, nil
}

// Encode returns the CBOR form of the state. Equal states have equal forms.
func (s *State) Encode() ([]byte, error) {
	s.initialize()
	data, err := encoder.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState decodes a state that Encode returned. It returns an error for a state that violates an invariant, such as
// a gap between ranges, since applying later records to it could make the process panic.
func DecodeState(data []byte) (*State, error) {
	s := &State{}
	if err := decoder.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	s.initialize()
	if err := s.check(); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	s.index = buildIndex(s)
	return s, nil
}

func (s *State) check() error {
	for id, m := range s.Members {
		if m == nil || m.ID != id {
			return errors.Errorf("member %s is null or has a different id", id)
		}
	}
	for service, ranges := range s.Assignments {
		if err := s.checkRanges(service, ranges); err != nil {
			return err
		}
	}
	return s.checkConfigurations()
}

func (s *State) checkConfigurations() error {
	if s.Version > 0 {
		if err := validator.Check(*s.Configuration); err != nil {
			return errors.Wrap(err, "configuration in force")
		}
	}
	for _, p := range s.Proposals {
		if p.Status != Pending {
			continue
		}
		if p.Configuration == nil {
			return errors.Errorf("the pending proposal at offset %d has no configuration", p.Offset)
		}
		if err := validator.Check(*p.Configuration); err != nil {
			return errors.Wrapf(err, "pending proposal at offset %d", p.Offset)
		}
	}
	return nil
}

func (s *State) checkRanges(service string, ranges []Assignment) error {
	next := hasher.Position(0)
	for i, a := range ranges {
		if a.Range.Low != next || a.Range.High < a.Range.Low || i > 0 && next == 0 {
			return errors.Errorf("range %s of service %q does not follow the one before it", a.Range, service)
		}
		next = a.Range.High + 1
		if m := s.Members[a.Owner]; a.Owner != 0 && (m == nil || m.Service != service) {
			return errors.Errorf("range %s of service %q is owned by %s, which is not a member of the service",
				a.Range, service, a.Owner)
		}
		if m := s.Members[a.Source]; a.Source != 0 && (m == nil || m.Service != service || a.Source == a.Owner) {
			return errors.Errorf("range %s of service %q has source %s, which is its owner or not a member of the service",
				a.Range, service, a.Source)
		}
	}
	if len(ranges) == 0 || next != 0 {
		return errors.Errorf("the ranges of service %q do not cover the key space", service)
	}
	return nil
}

// CheckpointAssembler assembles states from the checkpoint pieces that a reader finds in the log. The zero value is
// ready for use.
type CheckpointAssembler struct {
	pieces map[string][]Checkpoint
}

// Add adds a piece. It returns the state once all pieces of its checkpoint have been added, and nil before that. Pieces
// may repeat. A piece that is out of order or contradicts an earlier one discards its checkpoint and returns an error.
func (c *CheckpointAssembler) Add(piece Checkpoint) (*State, error) {
	if piece.Total < 1 || piece.Index < 0 || piece.Index >= piece.Total {
		return nil, errors.Errorf("checkpoint piece %d of %d is out of range", piece.Index, piece.Total)
	}
	if c.pieces == nil {
		c.pieces = map[string][]Checkpoint{}
	}
	pieces := c.pieces[piece.ID]
	contradicts := len(pieces) > 0 && (pieces[0].AsOf != piece.AsOf || pieces[0].Total != piece.Total)
	if contradicts || piece.Index > len(pieces) {
		delete(c.pieces, piece.ID)
		return nil, errors.Errorf("checkpoint %s has a piece that is out of order or contradicts an earlier one", piece.ID)
	}
	if piece.Index < len(pieces) {
		return nil, nil
	}
	pieces = append(pieces, piece)
	if len(pieces) < piece.Total {
		c.store(piece.ID, pieces)
		return nil, nil
	}
	delete(c.pieces, piece.ID)
	return assemble(pieces)
}

// store holds an incomplete checkpoint. Above maxPartialCheckpoints it drops the one with the oldest state.
func (c *CheckpointAssembler) store(id string, pieces []Checkpoint) {
	c.pieces[id] = pieces
	if len(c.pieces) <= maxPartialCheckpoints {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(c.pieces)), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.pieces[a][0].AsOf, c.pieces[b][0].AsOf), cmp.Compare(a, b))
	})
	delete(c.pieces, oldest)
}

func assemble(pieces []Checkpoint) (*State, error) {
	var data bytes.Buffer
	for _, p := range pieces {
		data.Write(p.Piece)
	}
	s, err := DecodeState(data.Bytes())
	if err != nil {
		return nil, err
	}
	if s.Applied != pieces[0].AsOf {
		return nil, errors.Errorf("checkpoint %s holds the state of offset %d, not %d", pieces[0].ID, s.Applied, pieces[0].AsOf)
	}
	return s, nil
}
