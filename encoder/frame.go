package encoder

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"hibiscusline/carrier"
)

// MaxFrameBytes is the largest body of a frame that is written or read.
const MaxFrameBytes = 16 << 20

const frameHeaderBytes = 5

// Message is a value that can be sent as a frame. The types of this package that implement it are the only ones.
type Message interface{ kind() kind }

type kind byte

const (
	kindRequest kind = iota + 1
	kindResponse
	kindFetch
	kindRecords
	kindState
	kindReplicateRows
	kindRowsQuery
	kindRows
	kindTransfer
	kindAck
	kindStateQuery
	kindOffer
)

// Write writes a message as one frame. It returns an error for a message over MaxFrameBytes.
func Write(w io.Writer, m Message) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(body) > MaxFrameBytes {
		return errors.Errorf("message of %d bytes is larger than a frame", len(body))
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	frame[0] = byte(m.kind())
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// Read reads one frame. It returns an error for an unknown kind, a frame over MaxFrameBytes and a value that doesn't
// decode, io.EOF at the end of the stream, and io.ErrUnexpectedEOF for a truncated frame.
func Read(r io.Reader) (Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes is larger than %d", length, MaxFrameBytes)
	}
	body, err := readBody(r, int(length))
	if err != nil {
		return nil, err
	}
	return decode(kind(header[0]), body)
}

// maxPreallocatedBytes is the largest buffer that is allocated from the length in a header alone. A longer body grows
// the buffer as its bytes arrive, so a peer can't cause a large allocation with a header.
const maxPreallocatedBytes = 64 << 10

func readBody(r io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocatedBytes {
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpectedEOF(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// unexpectedEOF replaces io.EOF, which a stream that ends between header and body gives, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAs reads one frame. It returns an error if its message is not of type M.
func ReadAs[M Message](r io.Reader) (M, error) {
	var none M
	message, err := Read(r)
	if err != nil {
		return none, err
	}
	typed, ok := message.(M)
	if !ok {
		return none, errors.Errorf("message is a %T, want %T", message, none)
	}
	return typed, nil
}

func decode(k kind, body []byte) (Message, error) {
	switch k {
	case kindRequest:
		return decodeAs[Request](body)
	case kindResponse:
		return decodeResponse(body)
	case kindFetch:
		return decodeAs[Fetch](body)
	case kindRecords:
		return decodeAs[Records](body)
	case kindState:
		return decodeAs[State](body)
	case kindReplicateRows:
		return decodeAs[ReplicateRows](body)
	case kindRowsQuery:
		return decodeAs[RowsQuery](body)
	case kindRows:
		return decodeAs[Rows](body)
	case kindOffer:
		return decodeAs[Offer](body)
	case kindTransfer:
		return decodeAs[Transfer](body)
	case kindAck:
		return decodeAs[Ack](body)
	case kindStateQuery:
		return decodeAs[StateQuery](body)
	}
	return nil, errors.Errorf("unknown message kind %d", byte(k))
}

func decodeAs[M Message](body []byte) (Message, error) {
	var m M
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrapf(err, "decode %T", m)
	}
	return m, nil
}

// decodeResponse returns an error for an answer whose status or header can't be passed on.
func decodeResponse(body []byte) (Message, error) {
	m, err := decodeAs[Response](body)
	if err != nil {
		return nil, err
	}
	r := m.(Response)
	if r.Outcome == Answered && (r.Status < 200 || r.Status > 599) {
		return nil, errors.Errorf("decode encoder.Response: an answer with status %d", r.Status)
	}
	if err := carrier.CheckFieldNames(r.Header); err != nil {
		return nil, errors.Wrap(err, "decode encoder.Response")
	}
	return m, nil
}
