package dispatcher

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/encoder"
)

// fingerprintOf identifies requests that would do the same to a backend server.
func fingerprintOf(head encoder.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{head.Service, head.Method, head.Path, head.Key, head.IdempotencyKey} {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return digest.Sum64()
}

// suspects tracks the requests in flight at the backend server.
type suspects struct{}

func newSuspects() suspects { return suspects{} }

func (*suspects) verdict(uint64, bool) (alone, refused bool) { return false, false }
func (*suspects) start(uint64)                               {}
func (*suspects) finish(uint64) bool                         { return false }
func (*suspects) abandon(uint64)                             {}

func (d *Dispatcher) crashed(uint64) { d.backend.lost.Store(true) }
