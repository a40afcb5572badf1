package quarantiner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Request holds the parts of a request that its fingerprint is computed from.
type Request struct {
	Service, Method, Path string
	// Key is the request key of a keyed service.
	Key            string
	IdempotencyKey string
	// BodyHash is a hash of the whole body, or zero if it isn't known.
	BodyHash uint64
}

// Fingerprint returns a hash that identifies a request across retries. The body hash takes precedence over the
// idempotency key, because callers may send the same body with a new key.
func Fingerprint(r Request) uint64 {
	digest := xxhash.New()
	var number [8]byte
	add := func(value uint64) {
		binary.LittleEndian.PutUint64(number[:], value)
		_, _ = digest.Write(number[:])
	}
	for _, part := range []string{r.Service, r.Method, r.Path, r.Key} {
		add(uint64(len(part)))
		_, _ = digest.WriteString(part)
	}
	add(r.BodyHash)
	if r.BodyHash == 0 {
		_, _ = digest.WriteString(r.IdempotencyKey)
	}
	return digest.Sum64()
}
