package encoder

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrameBytes is the largest frame that a reader accepts, in bytes.
const MaxFrameBytes = 16 << 20

const frameHeader = 5

// Message is a value that can be framed. The types of this package that implement it are the only ones.
type Message interface{ kind() kind }

type kind byte

const (
	kindRequest kind = iota + 1
	kindResponse
	kindFetch
	kindRecords
	kindState
	kindRecordRows
	kindRowsQuery
	kindRows
	kindTransfer
	kindAck
	kindStateQuery
	kindOffer
)

// Write writes a message as one frame.
func Write(w io.Writer, m Message) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(body) > MaxFrameBytes {
		return errors.Errorf("message of %d bytes is larger than a frame", len(body))
	}
	frame := make([]byte, frameHeader, frameHeader+len(body))
	frame[0] = byte(m.kind())
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// Read reads one frame. It returns an error for an unknown kind, a frame over MaxFrameBytes and a value that doesn't decode.
func Read(r io.Reader) (Message, error) {
	var header [frameHeader]byte
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

// trustedLength is the length up to which a buffer is allocated before the bytes have arrived.
const trustedLength = 64 << 10

func readBody(r io.Reader, length int) ([]byte, error) {
	if length <= trustedLength {
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpected(err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// unexpected turns the end of a stream at the start of a frame's body into that of a truncated frame.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAs reads one frame that must hold a message of type M.
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
		return decodeAs[Response](body)
	case kindFetch:
		return decodeAs[Fetch](body)
	case kindRecords:
		return decodeAs[Records](body)
	case kindState:
		return decodeAs[State](body)
	case kindRecordRows:
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
