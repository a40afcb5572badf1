package applier

import (
	"bytes"

	"github.com/pkg/errors"
)

// PieceSize is the largest part of an encoded state in one checkpoint record, in bytes.
const PieceSize = 256 << 10

// Checkpoints encodes the state as checkpoint records with the given id.
func (s *State) Checkpoints(id string) ([]Checkpoint, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	total := (len(data) + PieceSize - 1) / PieceSize
	pieces := make([]Checkpoint, 0, total)
	for i := range total {
		piece := data[i*PieceSize : min((i+1)*PieceSize, len(data))]
		pieces = append(pieces, Checkpoint{ID: id, AsOf: s.Applied, Index: i, Total: total, Piece: piece})
	}
	return pieces, nil
}

// Encode returns the CBOR form of the state. Equal states have equal forms.
func (s *State) Encode() ([]byte, error) {
	data, err := encoder.Marshal(s)
	return data, errors.Wrap(err, "encode state")
}

// DecodeState reads what Encode wrote.
func DecodeState(data []byte) (*State, error) {
	s := &State{}
	if err := decoder.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode state")
	}
	s.initialize()
	return s, nil
}

// Collector gathers checkpoint pieces that a reader meets. The zero value is ready for use.
type Collector struct {
	pieces map[string][]Checkpoint
}

// Add takes a piece and returns the state once all pieces of its checkpoint have been added, and nil before. Pieces of
// one checkpoint may repeat; a piece that contradicts an earlier one discards the checkpoint.
func (c *Collector) Add(piece Checkpoint) (*State, error) {
	if piece.Total < 1 || piece.Index < 0 || piece.Index >= piece.Total {
		return nil, errors.Errorf("checkpoint piece %d of %d is out of range", piece.Index, piece.Total)
	}
	if c.pieces == nil {
		c.pieces = map[string][]Checkpoint{}
	}
	pieces := c.pieces[piece.ID]
	if piece.Index < len(pieces) {
		return nil, nil
	}
	if piece.Index > len(pieces) || len(pieces) > 0 && (pieces[0].AsOf != piece.AsOf || pieces[0].Total != piece.Total) {
		delete(c.pieces, piece.ID)
		return nil, errors.Errorf("checkpoint %s has a piece out of order", piece.ID)
	}
	pieces = append(pieces, piece)
	c.pieces[piece.ID] = pieces
	if len(pieces) < piece.Total {
		return nil, nil
	}
	delete(c.pieces, piece.ID)
	var data bytes.Buffer
	for _, p := range pieces {
		data.Write(p.Piece)
	}
	return DecodeState(data.Bytes())
}
