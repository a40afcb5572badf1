package follower

import (
	"sync"

	"github.com/pkg/errors"

	"hibiscusline/applier"
)

// keptRecords is the number of recent records that peers can fetch; one that lags further fetches the whole state.
const keptRecords = 4096

// keptBytes bounds the size of the kept records: 4,096 configurations of 100 kB would take 400 MB.
const keptBytes = 4 << 20

// Batch is a run of encoded records with ascending offsets from Start.
type Batch struct {
	// First is the first offset that the source still keeps.
	FirstRetained applier.Offset
	// Next is the offset that the source's next record will get.
	Next    applier.Offset
	Start   applier.Offset
	Records [][]byte
}

// Follower holds the state. The zero value is a follower of an empty log. It is safe for concurrent use.
type Follower struct {
	mu      sync.RWMutex
	state   applier.State
	changed chan struct{}

	kept      [][]byte
	keptStart applier.Offset
	keptSize  int

	// recovery holds all records from the first kept offset on while the follower looks for a checkpoint.
	recovery      map[applier.Offset]applier.Envelope
	recoveryStart applier.Offset
	recoveryNext  applier.Offset
	collector     applier.CheckpointAssembler
	ready         bool
	skipped       int
}

// View calls a function with the state, which must not be changed nor kept after the call.
func (f *Follower) View(read func(*applier.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(&f.state)
}

// Applied returns the last offset applied.
func (f *Follower) Applied() applier.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Applied
}

// Ready reports whether the state was read from the log or from a peer. An empty state of an empty log is ready.
func (f *Follower) Ready() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ready
}

// Skipped returns the number of records that could not be decoded.
func (f *Follower) Skipped() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.skipped
}

// Changed returns a channel that is closed when more records have been applied.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// NextOffset returns the offset from which the follower needs records.
func (f *Follower) NextOffset() applier.Offset {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.recovery != nil {
		return f.recoveryNext
	}
	return f.state.Applied + 1
}

// Ingest applies a batch and returns the results of the records that were applied.
func (f *Follower) Ingest(b Batch) ([]applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.Applied + 1
	// A peer may still have the records that the log has dropped. They end the search for a checkpoint.
	continues := b.Start <= next && b.Start+applier.Offset(len(b.Records)) > next
	if !continues && (f.recovery != nil || b.FirstRetained > next) {
		return f.recover(b)
	}
	f.recovery, f.collector = nil, applier.CheckpointAssembler{}
	if b.Start > f.state.Applied+1 {
		return nil, errors.Errorf("batch starts at offset %d, next needed is %d", b.Start, f.state.Applied+1)
	}
	var results []applier.Result
	for i, data := range b.Records {
		offset := b.Start + applier.Offset(i)
		if offset <= f.state.Applied {
			continue
		}
		results = append(results, f.apply(offset, data)...)
	}
	// A state that lags behind its source may be older than that of peers, so it doesn't count as read yet.
	f.ready = f.ready || f.state.Applied+1 >= b.Next
	if len(results) > 0 {
		f.notify()
	}
	return results, nil
}

func (f *Follower) apply(offset applier.Offset, data []byte) []applier.Result {
	e, err := applier.Decode(data)
	f.keep(offset, withoutPiece(data, e))
	if err != nil {
		f.state.Skip(offset)
		f.skipped++
		return []applier.Result{{Offset: offset, Reason: err.Error()}}
	}
	return []applier.Result{f.state.Apply(offset, e)}
}

// recover looks for a checkpoint from which all later records can be read. Records below the state are never applied.
func (f *Follower) recover(b Batch) ([]applier.Result, error) {
	if f.recovery == nil {
		f.recovery = map[applier.Offset]applier.Envelope{}
		f.recoveryStart, f.recoveryNext = b.FirstRetained, b.FirstRetained
	}
	if b.Start != f.recoveryNext {
		if b.FirstRetained <= f.recoveryNext {
			return nil, nil
		}
		f.recovery, f.collector = nil, applier.CheckpointAssembler{}
		return nil, errors.New("the log dropped records while a checkpoint was being read")
	}
	for i, data := range b.Records {
		offset := b.Start + applier.Offset(i)
		f.recoveryNext = offset + 1
		e, err := applier.Decode(data)
		if err != nil {
			f.skipped++
			continue
		}
		f.recovery[offset] = e
		piece, ok := e.Record.(applier.Checkpoint)
		// A peer passes checkpoints on without their content.
		if !ok || len(piece.Piece) == 0 {
			continue
		}
		state, err := f.collector.Add(piece)
		if err != nil || state == nil {
			continue
		}
		if state.Applied+1 >= f.recoveryStart && state.Applied >= f.state.Applied {
			f.adoptRecovered(state)
			remaining := Batch{FirstRetained: b.FirstRetained, Next: b.Next, Start: offset + 1, Records: b.Records[i+1:]}
			return f.ingestRest(remaining)
		}
	}
	return nil, nil
}

func (f *Follower) ingestRest(b Batch) ([]applier.Result, error) {
	var results []applier.Result
	for i, data := range b.Records {
		results = append(results, f.apply(b.Start+applier.Offset(i), data)...)
	}
	f.notify()
	return results, nil
}

func (f *Follower) adoptRecovered(state *applier.State) {
	last := f.recoveryNext
	f.state = *state
	for offset := state.Applied + 1; offset < last; offset++ {
		e, ok := f.recovery[offset]
		if !ok {
			f.state.Skip(offset)
			continue
		}
		f.state.Apply(offset, e)
	}
	f.recovery, f.collector = nil, applier.CheckpointAssembler{}
	f.kept, f.keptStart, f.keptSize = nil, 0, 0
	f.ready = true
}

// Adopt replaces the state by one that a peer sent, if that one is newer.
func (f *Follower) InstallState(state *applier.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Applied <= f.state.Applied {
		return false
	}
	f.state = *state
	f.recovery, f.collector = nil, applier.CheckpointAssembler{}
	f.kept, f.keptStart, f.keptSize = nil, 0, 0
	f.ready = true
	f.notify()
	return true
}

// Since returns the kept records from an offset on, at most limit of them. It reports false when they are not kept.
func (f *Follower) Since(from applier.Offset, limit int) (Batch, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	next := f.state.Applied + 1
	if from >= next {
		return Batch{FirstRetained: from, Next: next, Start: from}, true
	}
	if len(f.kept) == 0 || from < f.keptStart {
		return Batch{}, false
	}
	records := f.kept[from-f.keptStart:]
	if len(records) > limit {
		records = records[:limit]
	}
	return Batch{FirstRetained: f.keptStart, Next: next, Start: from, Records: append([][]byte(nil), records...)}, true
}

// Encoded returns the encoded state.
func (f *Follower) EncodeState() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Encode()
}

// withoutPiece returns the encoded form of a record without the content of a checkpoint, which doesn't affect the state.
// With 11,000 members a checkpoint has 8 MB; passed on from process to process, it would exceed the limit for control
// traffic, and kept, the limit for memory. A process that needs a checkpoint reads it from the log or asks for the state.
func withoutPiece(data []byte, e applier.Envelope) []byte {
	piece, ok := e.Record.(applier.Checkpoint)
	if !ok {
		return data
	}
	piece.Piece = nil
	stripped, err := applier.Encode(applier.Envelope{ID: e.ID, Record: piece})
	if err != nil {
		return data
	}
	return stripped
}

func (f *Follower) keep(offset applier.Offset, data []byte) {
	if len(f.kept) == 0 {
		f.keptStart = offset
	}
	f.kept = append(f.kept, data)
	f.keptSize += len(data)
	if len(f.kept) <= 2*keptRecords && f.keptSize <= 2*keptBytes {
		return
	}
	dropped := 0
	for len(f.kept)-dropped > keptRecords || f.keptSize > keptBytes && dropped < len(f.kept)-1 {
		f.keptSize -= len(f.kept[dropped])
		dropped++
	}
	f.kept = append([][]byte(nil), f.kept[dropped:]...)
	f.keptStart += applier.Offset(dropped)
}

func (f *Follower) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
