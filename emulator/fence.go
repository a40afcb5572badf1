package emulator

import (
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"hibiscusline/hasher"
)

// Grant is the ownership that a request claims: a range of hash positions at an epoch.
type Grant struct {
	Range hasher.Range
	Epoch uint64
}

// ParseGrant reads the values of Hibiscus-Range (two 16-digit hexadecimal numbers) and Hibiscus-Epoch (decimal).
func ParseGrant(positions, epoch string) (Grant, error) {
	low, high, separated := strings.Cut(positions, "-")
	lowest, err := strconv.ParseUint(low, 16, 64)
	if err != nil || !separated || len(low) != 16 || len(high) != 16 {
		return Grant{}, errors.Errorf("Hibiscus-Range is %q; allowed: two 16-digit hexadecimal numbers with a hyphen", positions)
	}
	highest, err := strconv.ParseUint(high, 16, 64)
	if err != nil || highest < lowest {
		return Grant{}, errors.Errorf("Hibiscus-Range is %q; allowed: a range in ascending order", positions)
	}
	number, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return Grant{}, errors.Errorf("Hibiscus-Epoch is %q; allowed: a decimal number", epoch)
	}
	return Grant{Range: hasher.Range{Low: hasher.Position(lowest), High: hasher.Position(highest)}, Epoch: number}, nil
}

// Fence stores the newest epoch seen for each range and rejects grants with older ones. Servers that keep their data in
// a common store share one Fence. The zero value is ready for use. It is safe for concurrent use.
type Fence struct {
	mutex  sync.Mutex
	newest map[hasher.Range]uint64
	// admitted caches grants known to be current, so that most requests need no search for overlapping ranges.
	admitted map[Grant]struct{}
}

// Admit reports whether no overlapping range was seen with a newer epoch, and if so stores the grant.
func (f *Fence) Admit(g Grant) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, known := f.admitted[g]; known {
		return true
	}
	for r, epoch := range f.newest {
		if epoch > g.Epoch && r.Low <= g.Range.High && g.Range.Low <= r.High {
			return false
		}
	}
	if f.newest == nil {
		f.newest = map[hasher.Range]uint64{}
	}
	if f.newest[g.Range] < g.Epoch {
		f.newest[g.Range] = g.Epoch
		f.admitted = map[Grant]struct{}{}
	}
	f.admitted[g] = struct{}{}
	return true
}
