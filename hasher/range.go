package hasher

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Position is a point in the 64-bit key space of a service, given by the hash of a key.
type Position uint64

// KeyPosition returns the position of a key: the xxHash64 of its bytes.
func KeyPosition(key string) Position { return Position(xxhash.Sum64String(key)) }

// Range is an inclusive interval of positions.
type Range struct {
	Low  Position `cbor:"1,keyasint" json:"low"`
	High Position `cbor:"2,keyasint" json:"high"`
}

// Full returns the range of all positions.
func Full() Range { return Range{High: math.MaxUint64} }

// Contains reports whether the position lies in the range.
func (r Range) Contains(p Position) bool { return p >= r.Low && p <= r.High }

// String returns the range as two 16-digit hexadecimal numbers.
func (r Range) String() string {
	return fmt.Sprintf("%016x-%016x", uint64(r.Low), uint64(r.High))
}

// Divide splits the key space into count ranges of nearly equal size. A count below one is treated as one.
func Divide(count int) []Range {
	if count < 1 {
		count = 1
	}
	width := math.MaxUint64/uint64(count) + 1
	if count == 1 {
		return []Range{Full()}
	}
	ranges := make([]Range, count)
	for i := range ranges {
		low := uint64(i) * width
		ranges[i] = Range{Low: Position(low), High: Position(low + width - 1)}
	}
	ranges[count-1].High = math.MaxUint64
	return ranges
}

// SplitAt splits the range so that the given position forms a range of its own. It returns up to three ranges in
// ascending order, or the unchanged range if the position lies outside it.
func (r Range) SplitAt(p Position) []Range {
	if !r.Contains(p) {
		return []Range{r}
	}
	var parts []Range
	if p > r.Low {
		parts = append(parts, Range{Low: r.Low, High: p - 1})
	}
	parts = append(parts, Range{Low: p, High: p})
	if p < r.High {
		parts = append(parts, Range{Low: p + 1, High: r.High})
	}
	return parts
}
