package patcher

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// dictionaryID identifies the base in a frame. Each frame has one base, so the value carries nothing.
	dictionaryID = 1
	// windowBytes is how far back in a document, with its base before it, a patch may refer.
	windowBytes = 1 << 20
)

// Encode returns a patch that turns a base into a document. Without a base it holds the whole document, compressed.
func Encode(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes), zstd.WithEncoderCRC(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "encode patch")
	}
	patch := w.EncodeAll(document, nil)
	return patch, errors.Wrap(w.Close(), "encode patch")
}

// Decode returns the document that a patch makes of a base. It returns an error for a patch of another base, and for a
// document of more than a number of bytes.
func Decode(base, patch []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decode patch")
	}
	defer r.Close()
	document, err := r.DecodeAll(patch, nil)
	return document, errors.Wrap(err, "decode patch")
}
