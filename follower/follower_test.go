package follower

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscusline/applier"
	_ "hibiscusline/seeder"
)

func encode(t require.TestingT, id string, r applier.Record) []byte {
	data, err := applier.Encode(applier.Envelope{ID: id, Record: r})
	require.NoError(t, err)
	return data
}

func join(t require.TestingT, i int) []byte {
	return encode(t, fmt.Sprint("join-", i), applier.Join{Member: applier.Member{ID: applier.MemberID(i), Service: "orders"}})
}

// TestReadyOnlyWhenCaughtUp guards against a process that serves with an old configuration while it is still reading
// the log.
func TestReadyOnlyWhenCaughtUp(t *testing.T) {
	var f Follower
	_, err := f.Ingest(Batch{FirstRetained: 1, Next: 4, Start: 1, Records: [][]byte{join(t, 1), join(t, 2)}})
	require.NoError(t, err)
	require.False(t, f.Ready())
	_, err = f.Ingest(Batch{FirstRetained: 1, Next: 4, Start: 3, Records: [][]byte{join(t, 3)}})
	require.NoError(t, err)
	require.True(t, f.Ready())
}

// TestTrimmedEmptyLogIsNotReady guards against a new process that mistakes a log whose records have all expired for a
// new, empty one.
func TestTrimmedEmptyLogIsNotReady(t *testing.T) {
	var f Follower
	_, err := f.Ingest(Batch{FirstRetained: 9, Next: 9, Start: 9})
	require.NoError(t, err)
	require.False(t, f.Ready())
}

// logModel is a log from which records are trimmed and to which checkpoints are appended at random, some of them late.
type logModel struct {
	records       [][]byte
	first         applier.Offset
	state         applier.State
	delayedPieces []applier.Checkpoint
}

func (l *logModel) add(t *rapid.T, data []byte) {
	l.records = append(l.records, data)
	e, err := applier.Decode(data)
	require.NoError(t, err)
	l.state.Apply(applier.Offset(len(l.records)), e)
}

func (l *logModel) batch(from applier.Offset, limit int) Batch {
	b := Batch{FirstRetained: l.first, Next: applier.Offset(len(l.records)) + 1}
	b.Start = min(max(from, l.first), b.Next)
	end := min(int(b.Start)-1+limit, len(l.records))
	b.Records = l.records[b.Start-1 : end]
	return b
}

// TestFollowersAgree guards against a recovery that yields a wrong state. Whatever was trimmed, and however late a
// paused writer appends an old checkpoint, a follower ends up not ready or with the state of all records, and never
// returns to an older state.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &logModel{first: 1}
		followers := []*Follower{{}, {}}
		seen := make([]applier.Offset, len(followers))
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				l.add(t, join(t, i+1))
			case 2:
				pieces, err := l.state.CheckpointRecords(fmt.Sprint("checkpoint-", i))
				require.NoError(t, err)
				l.delayedPieces = append(l.delayedPieces, pieces...)
			case 3:
				if len(l.delayedPieces) > 0 {
					l.add(t, encode(t, fmt.Sprint("piece-", i), l.delayedPieces[0]))
					l.delayedPieces = l.delayedPieces[1:]
				}
			case 4:
				l.first = applier.Offset(rapid.IntRange(int(l.first), len(l.records)+1).Draw(t, "first"))
			case 5:
				n := rapid.IntRange(0, len(followers)-1).Draw(t, "follower")
				f := followers[n]
				// After an error the follower searches for a checkpoint again with the next batch, as in a process that
				// reads the log.
				_, _ = f.Ingest(l.batch(f.NextOffset(), rapid.IntRange(1, 10).Draw(t, "limit")))
				require.GreaterOrEqual(t, f.Applied(), seen[n])
				seen[n] = f.Applied()
			}
		}
		pieces, err := l.state.CheckpointRecords("last")
		require.NoError(t, err)
		for i, piece := range pieces {
			l.add(t, encode(t, fmt.Sprint("last-", i), piece))
		}
		want, err := l.state.Encode()
		require.NoError(t, err)
		for _, f := range followers {
			for range 200 {
				_, _ = f.Ingest(l.batch(f.NextOffset(), 5))
			}
			if !f.Ready() {
				require.Greater(t, l.first, applier.Offset(len(l.records)-len(pieces)+1))
				continue
			}
			got, err := f.EncodeState()
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	})
}

// TestKeptRecordsAreSmall guards against checkpoint pieces and too many large configurations among the records that a
// process keeps for its peers, and against a peer that reaches a different state without the pieces.
func TestKeptRecordsAreSmall(t *testing.T) {
	var writer applier.State
	records := [][]byte{}
	add := func(id string, r applier.Record) {
		records = append(records, encode(t, id, r))
		e, err := applier.Decode(records[len(records)-1])
		require.NoError(t, err)
		writer.Apply(applier.Offset(len(records)), e)
	}
	for i := range 2000 {
		add(fmt.Sprint("join-", i), applier.Join{Member: applier.Member{ID: applier.MemberID(i + 1), Service: "orders"}})
	}
	pieces, err := writer.CheckpointRecords("c")
	require.NoError(t, err)
	for i, piece := range pieces {
		add(fmt.Sprint("piece-", i), piece)
	}
	var f, peer Follower
	_, err = f.Ingest(Batch{FirstRetained: 1, Next: applier.Offset(len(records)) + 1, Start: 1, Records: records})
	require.NoError(t, err)
	b, kept := f.Since(1, len(records))
	require.True(t, kept)
	require.Less(t, len(b.Records[len(b.Records)-1]), 100)
	_, err = peer.Ingest(b)
	require.NoError(t, err)
	want, err := f.EncodeState()
	require.NoError(t, err)
	got, err := peer.EncodeState()
	require.NoError(t, err)
	require.Equal(t, want, got)
	f.View(func(s *applier.State) { require.Equal(t, applier.Offset(2000), s.CheckpointAsOf) })

	large := make([]byte, 1<<20)
	for i := range 20 {
		next := applier.Offset(len(records) + 1 + i)
		_, err = f.Ingest(Batch{FirstRetained: 1, Next: next + 1, Start: next, Records: [][]byte{large}})
		require.NoError(t, err)
	}
	require.LessOrEqual(t, f.recentBytes, 2*maxRecentBytes)
	b, kept = f.Since(f.recentStart, 100)
	require.True(t, kept)
	require.Equal(t, f.Applied()+1, b.Next)
	require.Len(t, f.recent, int(f.Applied()+1-f.recentStart))
}
