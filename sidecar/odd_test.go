package sidecar_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"hibiscusline/platform"
	"hibiscusline/platform/simulator"
	"hibiscusline/registrar"
)

// overwrite appends a record as another writer of the store might, and returns the offset that follows it.
func (s *cluster) overwrite(key string, value []byte) uint64 {
	s.t.Helper()
	store := platform.NewStore(s.storeAddress)
	for {
		_, end, err := store.Newest(s.t.Context(), platform.RecordsTopic)
		require.NoError(s.t, err)
		offset, err := store.Append(s.t.Context(), platform.ExpectedEnd(end.Offset), []platform.Record{{Key: key, Value: value}})
		if !errors.Is(err, platform.ErrConflict) {
			require.NoError(s.t, err)
			return offset.Offset + 1
		}
	}
}

// writtenAgain reports whether the newest record of a key was written at or after an offset.
func (s *cluster) writtenAgain(key string, offset uint64) bool {
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	entries, _, err := platform.NewStore(s.storeAddress).Newest(ctx, platform.RecordsTopic)
	require.NoError(s.t, err)
	for _, e := range entries {
		if e.Key == key {
			return e.Offset >= offset
		}
	}
	return false
}

// TestOddEntries guards against a record of another writer that makes sidecars exit or stop following the records, that
// takes a live server's keys, or that stays in the store, where a sidecar that starts later finds nothing else.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 2, 1)
	nested := append(bytes.Repeat([]byte{0x81}, 100_000), 0x80)
	for _, key := range []string{registrar.MemberKey("node-0"), registrar.MemberKey("node-2"), registrar.TableKey("stock")} {
		end := s.overwrite(key, nested)
		s.await("the record of "+key+" is written again", func() bool { return s.writtenAgain(key, end) })
		require.True(t, s.allKeysServed(2), "live owners keep serving")
		require.Equal(t, http.StatusOK, s.send(s.nodes[0], http.MethodPost, "/orders/1", simulator.NoKey).Status)
	}
	s.overwrite("elsewhere", nested)
	s.overwrite(registrar.MemberKey("nobody"), nested)
	s.nodes[1].stopServer()
	s.await("the keys of a server that ended have moved", func() bool { return s.allKeysServed(2) })
	s.startServer(s.nodes[1])
	s.nodes[1].stopSidecar()
	s.startSidecar(s.nodes[1])
	s.await("a sidecar that starts later serves all keys", func() bool { return s.allKeysServed(1) })
	require.NotContains(t, s.logs.String(), "sidecar exited")
}

// TestOddTableIsNoNewTable guards against a table that begins anew, with fencing tokens that were given out before,
// because the only record of the table is unreadable.
func TestOddTableIsNoNewTable(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 2, 0)
	for _, n := range s.nodes {
		n.stopSidecar()
	}
	end := s.overwrite(registrar.TableKey("stock"), []byte("junk"))
	for _, n := range s.nodes {
		s.startSidecar(n)
	}
	s.await("the unreadable record is logged", func() bool {
		return strings.Contains(s.logs.String(), "event=records_unreadable")
	})
	time.Sleep(4 * time.Second)
	require.False(t, s.writtenAgain(registrar.TableKey("stock"), end))
}

// TestOddHeartbeat guards against a heartbeat or a deregistration of another writer that takes the place of the server's.
func TestOddHeartbeat(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 1)
	n := s.nodes[1]
	heartbeat := soundHeartbeat(n)
	heartbeat["info"].(map[string]any)["service"] = "nowhere"
	status, text := s.report(n, platform.HeartbeatPath+"i-odd", heartbeat)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, text, "service is not configured")
	for _, body := range []map[string]any{{"born": "today"}, {}} {
		status, _ = s.report(n, platform.DeregisterPath+n.config.ID, body)
		require.Equal(t, http.StatusBadRequest, status)
	}
	for range 20 {
		require.Equal(t, http.StatusOK, s.send(s.nodes[0], http.MethodPost, "/orders/1", simulator.NoKey).Status)
		time.Sleep(testHeartbeat / 5)
	}
}
