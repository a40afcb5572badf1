package deduper

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/hasher"
)

func begin(t *testing.T, table *Table, now time.Duration, key string) Row {
	t.Helper()
	fresh, isFresh := table.Begin(now, testID(key), 7).(Fresh)
	require.True(t, isFresh)
	return fresh.Row
}

// TestBeginVerdicts guards against a verdict that allows a second run or returns the outcome of a different request.
func TestBeginVerdicts(t *testing.T) {
	table := NewTable(Limits{Rows: 2, OutcomeBytes: 4})
	first := begin(t, table, 0, "a")
	require.Equal(t, InProgress{Ref: first.Ref}, table.Begin(1, testID("a"), 7))
	require.Equal(t, Mismatch{}, table.Begin(1, testID("a"), 8))
	require.True(t, table.Abort(first.Ref))

	second := begin(t, table, 2, "a")
	require.False(t, table.Abort(first.Ref), "a late abort of an earlier attempt")
	_, recorded := table.Complete(3, first.Ref, Outcome{Status: 500})
	require.False(t, recorded, "a late outcome of an earlier attempt")
	_, recorded = table.Fail(3, second.Ref)
	require.True(t, recorded)
	require.Equal(t, OutcomeUnknown{}, table.Begin(4, testID("a"), 7))
	row, recorded := table.Complete(5, second.Ref, Outcome{Status: 201, Body: []byte("12345")})
	require.True(t, recorded)
	require.Equal(t, 3*time.Nanosecond, row.Age)
	require.Equal(t, Replay{Outcome: Outcome{Status: 201, Partial: true}}, table.Begin(6, testID("a"), 7))

	running := begin(t, table, 6, "b")
	require.Equal(t, Full{}, table.Begin(7, testID("c"), 7))
	table.Expire(2*testWindow, testWindowOf)
	require.Equal(t, 1, table.Len(), "a running request outlives the window")
	require.Equal(t, InProgress{Ref: running.Ref}, table.Begin(2*testWindow, testID("b"), 7))
}

// TestExportRemoveAndCounts guards against exports that miss rows at the ends of a range, and against row and byte
// counts that are not released.
func TestExportRemoveAndCounts(t *testing.T) {
	table := NewTable(Limits{})
	store := NewStore(Limits{Rows: 1000, Bytes: 3000})
	for i := range 1000 {
		row := begin(t, table, 0, fmt.Sprint(i))
		row, _ = table.Complete(1, row.Ref, Outcome{Status: 200, Body: []byte("reserved")})
		require.NoError(t, store.Record(1, 5, []Row{row}))
	}
	require.LessOrEqual(t, store.usage.bytes, 3000)
	require.ErrorIs(t, store.Record(1, 6, []Row{begin(t, table, 0, "more")}), ErrFull)
	exported := 0
	for _, r := range hasher.Divide(700) {
		rows := table.Export(1, testService, r)
		for _, row := range rows {
			require.True(t, r.Contains(row.Ref.ID.Position))
		}
		exported += len(rows)
	}
	require.Equal(t, 1001, exported)
	table.RemoveRange(testService, hasher.Full())
	require.Equal(t, 1, table.Len(), "the running request")
	require.Zero(t, table.rows.usage.bytes)
	store.RemoveOwner(5)
	require.Equal(t, usage{limits: store.usage.limits}, store.usage)
}

// TestRowEncoding guards against changes of the encoding, which processes of two versions exchange during an upgrade.
func TestRowEncoding(t *testing.T) {
	data, err := cbor.Marshal(Row{
		Ref: AttemptRef{ID: ID{Service: "orders", Position: 9, Key: "k"}, Attempt: 2}, Request: 3, State: Completed, Age: time.Second,
		Outcome: Outcome{Status: 201, Header: map[string][]string{"Etag": {"1"}}, Body: []byte("ok")},
	})
	require.NoError(t, err)
	text, err := cbor.Diagnose(data)
	require.NoError(t, err)
	goldie.New(t).Assert(t, "row", []byte(text))
}

// TestStoreIgnoresLateMessages guards against a delayed message of an earlier attempt that replaces a later one, and
// against an intent that replaces an outcome.
func TestStoreIgnoresLateMessages(t *testing.T) {
	store := NewStore(Limits{})
	ref := func(attempt uint64) AttemptRef { return AttemptRef{ID: testID("a"), Attempt: attempt} }
	done := Row{Ref: ref(2), State: Completed, Outcome: Outcome{Status: 200}}
	states := func() []RowState {
		rows, _ := store.Rows(0, 5, testService, hasher.Full())
		var states []RowState
		for _, row := range rows {
			require.Equal(t, uint64(2), row.Ref.Attempt)
			states = append(states, row.State)
		}
		return states
	}
	require.NoError(t, store.Record(0, 5, []Row{{Ref: ref(1)}, {Ref: ref(2)}, {Ref: ref(1), State: Unknown}}))
	store.DeleteIntents(5, []AttemptRef{ref(1)})
	require.Equal(t, []RowState{Intended}, states())
	require.NoError(t, store.Record(0, 5, []Row{done, {Ref: ref(2), State: Unknown}, {Ref: ref(2)}}))
	store.DeleteIntents(5, []AttemptRef{ref(2)})
	require.Equal(t, []RowState{Completed}, states())
}

// TestTransferKeepsTheWindow guards against a transfer that shortens the idempotency window when the receiver's clock
// is up to 5% slower than the sender's.
func TestTransferKeepsTheWindow(t *testing.T) {
	const elapsed = 20 * time.Second
	table := NewTable(Limits{})
	table.Import(0, []Row{{Ref: AttemptRef{ID: testID("a")}, Age: elapsed}})
	table.Block(0, Block{Service: testService, Range: hasher.Full(), Remaining: testWindow})
	table.Expire(testWindow-elapsed*95/100-1, testWindowOf)
	require.Equal(t, OutcomeUnknown{}, table.Begin(0, testID("a"), 0))
	require.Equal(t, Blocked{Until: testWindow * 105 / 100}, table.Begin(testWindow*105/100-1, testID("b"), 0))
}
