package assigner

import (
	"bytes"
	"compress/flate"
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// record is the stored form of a Table. It stores slices by column, which compresses well because owners are assigned
// round-robin.
type record struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	LastToken  uint64
	Owners     []Owner
	Suspects   []Suspicion
	LastSerial uint64
	Handovers  map[uint16]string
	SliceOwner []uint16
	Token      []uint64
	Target     map[uint16]uint16
}

// trailer follows the compressed record of a table that was built in a later era than 0. Earlier releases ignore it.
type trailer struct {
	_        struct{} `cbor:",toarray"`
	Era      uint64
	Settling bool
}

// maxOwners limits the owners of a table. Slices refer to them by 16 bits, and a change may add some before it removes
// those without slices.
const maxOwners = math.MaxUint16 / 2

// maxRecordBytes limits the size of a record after decompression.
const maxRecordBytes = 4 << 20

// Encode returns the encoded and compressed table.
func (t *Table) Encode() ([]byte, error) {
	r := record{
		Service: t.Service, LastToken: t.LastToken, Owners: t.Owners, Suspects: t.Suspects, LastSerial: t.LastSerial,
		Handovers: t.Handovers, Target: map[uint16]uint16{},
	}
	for i, s := range t.Slices {
		r.SliceOwner = append(r.SliceOwner, s.Owner)
		r.Token = append(r.Token, s.Token)
		if s.Target != 0 {
			r.Target[uint16(i)] = s.Target
		}
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode assignment table")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "encode assignment table")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "encode assignment table")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode assignment table")
	}
	if t.Era == 0 {
		return b.Bytes(), nil
	}
	end, err := cbor.Marshal(trailer{Era: t.Era, Settling: t.Settling})
	return append(b.Bytes(), end...), errors.Wrap(err, "encode assignment table")
}

// Decode returns the table encoded in a record. It returns an error if the record is malformed.
func Decode(data []byte) (*Table, error) {
	// The decompressor reads byte by byte, so it leaves what follows the compressed data.
	reader := bytes.NewReader(data)
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(reader), maxRecordBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decode assignment table")
	}
	var r record
	if err := cbor.Unmarshal(decompressed, &r); err != nil {
		return nil, errors.Wrap(err, "decode assignment table")
	}
	t, err := r.toTable()
	if err != nil || reader.Len() == 0 {
		return t, err
	}
	var end trailer
	if err := cbor.Unmarshal(data[len(data)-reader.Len():], &end); err != nil {
		return nil, errors.Wrap(err, "decode assignment table")
	}
	if end.Era == 0 || end.Era > maxEra {
		return nil, errors.Errorf("assignment table of %q: era %d out of range", r.Service, end.Era)
	}
	t.Era, t.Settling = end.Era, end.Settling
	return t, nil
}

// maxEra bounds the eras, so that the counters of each have room.
const maxEra = 1 << 32

// maxCounter bounds the tokens and serials of a record. It leaves room for further increments.
const maxCounter = 1 << 62

func (r *record) toTable() (*Table, error) {
	if r.LastToken > maxCounter || r.LastSerial > maxCounter {
		return nil, errors.Errorf("assignment table of %q: token or serial too large", r.Service)
	}
	if len(r.Owners) > maxOwners {
		return nil, errors.Errorf("assignment table of %q has %d owners; allowed: %d", r.Service, len(r.Owners), maxOwners)
	}
	n := len(r.SliceOwner)
	if n == 0 || n > KeyCount || len(r.Token) != n {
		return nil, errors.Errorf("assignment table of %q has %d slice owners and %d slice tokens",
			r.Service, n, len(r.Token))
	}
	t := &Table{
		Service: r.Service, LastToken: r.LastToken, Owners: r.Owners, Suspects: r.Suspects, LastSerial: r.LastSerial,
		Handovers: r.Handovers, Slices: make([]Slice, n),
	}
	if last := (n - 1) * t.Width(); last >= KeyCount {
		return nil, errors.Errorf("assignment table of %q has %d slices, some of them without keys", r.Service, n)
	}
	for i := range t.Slices {
		t.Slices[i] = Slice{Owner: r.SliceOwner[i], Token: r.Token[i], Target: r.Target[uint16(i)]}
		if t.Slices[i].Token > t.LastToken {
			return nil, errors.Errorf("assignment table of %q: token of slice %d was never issued", r.Service, i)
		}
		if int(t.Slices[i].Owner) > len(t.Owners) || int(t.Slices[i].Target) > len(t.Owners) {
			return nil, errors.Errorf("assignment table of %q: owner or target index of slice %d is out of range", r.Service, i)
		}
	}
	return t, nil
}
