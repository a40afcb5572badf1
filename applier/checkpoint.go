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

// MaxPieceBytes is the largest part of an encoded state in one checkpoint record, in bytes.
const MaxPieceBytes = 256 << 10

// maxCollected bounds the unfinished checkpoints that a reader keeps, of which writers that stopped leave some behind.
const maxCollected = 4

// Checkpoints encodes the state as checkpoint records with the given id.
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

// DecodeState reads what Encode wrote. It returns an error for data that no State can have, since later records would be
// applied to it.
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
			return errors.Errorf("member %s is null or has another id", id)
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
			return errors.Errorf("range %s of service %q belongs to %s, which is not a member of it", a.Range, service, a.Owner)
		}
		if m := s.Members[a.Source]; a.Source != 0 && (m == nil || m.Service != service || a.Source == a.Owner) {
			return errors.Errorf("range %s of service %q can't be released by %s", a.Range, service, a.Source)
		}
	}
	if len(ranges) == 0 || next != 0 {
		return errors.Errorf("the ranges of service %q do not cover the key space", service)
	}
	return nil
}

// Collector gathers checkpoint pieces that a reader meets. The zero value is ready for use.
type CheckpointAssembler struct {
	pieces map[string][]Checkpoint
}

// Add takes a piece and returns the state once all pieces of its checkpoint have been added, and nil before. Pieces of
// one checkpoint may repeat; a piece that contradicts an earlier one discards the checkpoint.
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
		return nil, errors.Errorf("checkpoint %s has a piece out of order", piece.ID)
	}
	if piece.Index < len(pieces) {
		return nil, nil
	}
	pieces = append(pieces, piece)
	if len(pieces) < piece.Total {
		c.keep(piece.ID, pieces)
		return nil, nil
	}
	delete(c.pieces, piece.ID)
	return assemble(pieces)
}

// keep drops the checkpoint of the oldest state beyond the bound.
func (c *CheckpointAssembler) keep(id string, pieces []Checkpoint) {
	c.pieces[id] = pieces
	if len(c.pieces) <= maxCollected {
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
