package follower

import (
	"sync"

	"github.com/pkg/errors"

	"hibiscusline/applier"
)

// maxRecentRecords is the number of recent records that peers can fetch. A peer that is further behind fetches the
// whole state.
const maxRecentRecords = 4096

// maxRecentBytes bounds the size of the recent records: 4,096 configurations of 100 kB would take 400 MB.
const maxRecentBytes = 4 << 20

// Batch is a run of encoded records with consecutive offsets from Start.
type Batch struct {
	// FirstRetained is the first offset that the source still retains.
	FirstRetained applier.Offset
	// Next is the offset that the source's next record will get.
	Next    applier.Offset
	Start   applier.Offset
	Records [][]byte
}

// Follower holds the state of the log that it follows. The zero value is ready for use and holds the state of an empty
// log. It is safe for concurrent use.
type Follower struct {
	mu      sync.RWMutex
	state   applier.State
	changed chan struct{}

	recent      [][]byte
	recentStart applier.Offset
	recentBytes int

	// recovery holds the records read since recoveryStart, the first retained offset, while the follower looks for a
	// checkpoint. It is nil otherwise.
	recovery      map[applier.Offset]applier.Envelope
	recoveryStart applier.Offset
	recoveryNext  applier.Offset
	assembler     applier.CheckpointAssembler
	ready         bool
	skipped       int
}

// View calls read with the state. read must neither modify nor retain it.
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

// Ready reports whether the follower has caught up with its source, the log or a peer, or has installed a state since
// it started. The empty state of an empty log is ready.
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

// Changed returns a channel that is closed when the next records have been applied.
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
	// A peer may still have the records that the log has dropped. With them, no checkpoint is needed.
	continues := b.Start <= next && b.Start+applier.Offset(len(b.Records)) > next
	if !continues && (f.recovery != nil || b.FirstRetained > next) {
		return f.recoverFromCheckpoint(b)
	}
	f.recovery, f.assembler = nil, applier.CheckpointAssembler{}
	if b.Start > f.state.Applied+1 {
		return nil, errors.Errorf("batch starts at offset %d, but the next record needed is at offset %d",
			b.Start, f.state.Applied+1)
	}
	var results []applier.Result
	for i, data := range b.Records {
		offset := b.Start + applier.Offset(i)
		if offset <= f.state.Applied {
			continue
		}
		results = append(results, f.apply(offset, data)...)
	}
	// A state that lags behind its source may be older than that of peers, so it isn't ready yet.
	f.ready = f.ready || f.state.Applied+1 >= b.Next
	if len(results) > 0 {
		f.notify()
	}
	return results, nil
}

func (f *Follower) apply(offset applier.Offset, data []byte) []applier.Result {
	e, err := applier.Decode(data)
	f.addRecent(offset, stripPiece(data, e))
	if err != nil {
		f.state.Skip(offset)
		f.skipped++
		return []applier.Result{{Offset: offset, Reason: err.Error()}}
	}
	return []applier.Result{f.state.Apply(offset, e)}
}

// recoverFromCheckpoint searches the batches for a checkpoint after which no record is missing, and continues from it.
// It never installs a state older than the present one.
func (f *Follower) recoverFromCheckpoint(b Batch) ([]applier.Result, error) {
	if f.recovery == nil {
		f.recovery = map[applier.Offset]applier.Envelope{}
		f.recoveryStart, f.recoveryNext = b.FirstRetained, b.FirstRetained
	}
	if b.Start != f.recoveryNext {
		if b.FirstRetained <= f.recoveryNext {
			return nil, nil
		}
		f.recovery, f.assembler = nil, applier.CheckpointAssembler{}
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
		// Peers forward checkpoint records without their pieces.
		if !ok || len(piece.Piece) == 0 {
			continue
		}
		state, err := f.assembler.Add(piece)
		if err != nil || state == nil {
			continue
		}
		if state.Applied+1 >= f.recoveryStart && state.Applied >= f.state.Applied {
			f.installRecovered(state)
			remaining := Batch{
				FirstRetained: b.FirstRetained, Next: b.Next, Start: offset + 1, Records: b.Records[i+1:],
			}
			return f.ingestRemaining(remaining)
		}
	}
	return nil, nil
}

func (f *Follower) ingestRemaining(b Batch) ([]applier.Result, error) {
	var results []applier.Result
	for i, data := range b.Records {
		results = append(results, f.apply(b.Start+applier.Offset(i), data)...)
	}
	f.notify()
	return results, nil
}

func (f *Follower) installRecovered(state *applier.State) {
	end := f.recoveryNext
	f.state = *state
	for offset := state.Applied + 1; offset < end; offset++ {
		e, ok := f.recovery[offset]
		if !ok {
			f.state.Skip(offset)
			continue
		}
		f.state.Apply(offset, e)
	}
	f.recovery, f.assembler = nil, applier.CheckpointAssembler{}
	f.recent, f.recentStart, f.recentBytes = nil, 0, 0
	f.ready = true
}

// InstallState replaces the state by one that a peer sent, if that one is newer. It reports whether it did. The
// follower keeps the given state.
func (f *Follower) InstallState(state *applier.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state.Applied <= f.state.Applied {
		return false
	}
	f.state = *state
	f.recovery, f.assembler = nil, applier.CheckpointAssembler{}
	f.recent, f.recentStart, f.recentBytes = nil, 0, 0
	f.ready = true
	f.notify()
	return true
}

// Since returns the recent records from an offset on, at most limit of them. It reports false when the record at the
// offset is no longer kept.
func (f *Follower) Since(from applier.Offset, limit int) (Batch, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	next := f.state.Applied + 1
	if from >= next {
		return Batch{FirstRetained: from, Next: next, Start: from}, true
	}
	if len(f.recent) == 0 || from < f.recentStart {
		return Batch{}, false
	}
	records := f.recent[from-f.recentStart:]
	if len(records) > limit {
		records = records[:limit]
	}
	return Batch{
		FirstRetained: f.recentStart, Next: next, Start: from, Records: append([][]byte(nil), records...),
	}, true
}

// EncodeState returns the CBOR form of the state.
func (f *Follower) EncodeState() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state.Encode()
}

// stripPiece returns the encoded form of a record without the piece of a checkpoint, which doesn't affect the state.
// With 11,000 members a checkpoint has 8 MB. Forwarding it between processes would exceed the limit for control
// traffic, and keeping it the limit for memory. A process that needs a checkpoint reads it from the log or fetches the
// whole state from a peer.
func stripPiece(data []byte, e applier.Envelope) []byte {
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

func (f *Follower) addRecent(offset applier.Offset, data []byte) {
	if len(f.recent) == 0 {
		f.recentStart = offset
	}
	f.recent = append(f.recent, data)
	f.recentBytes += len(data)
	if len(f.recent) <= 2*maxRecentRecords && f.recentBytes <= 2*maxRecentBytes {
		return
	}
	dropped := 0
	for len(f.recent)-dropped > maxRecentRecords || f.recentBytes > maxRecentBytes && dropped < len(f.recent)-1 {
		f.recentBytes -= len(f.recent[dropped])
		dropped++
	}
	f.recent = append([][]byte(nil), f.recent[dropped:]...)
	f.recentStart += applier.Offset(dropped)
}

func (f *Follower) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
