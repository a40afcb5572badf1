package sidecar_test

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/platform"
)

// report sends what another writer says of a server to the process of a node, and returns the status and the text of the
// response.
func (s *cluster) report(n *node, path string, body map[string]any) (int, string) {
	s.t.Helper()
	data, err := cbor.Marshal(body)
	require.NoError(s.t, err)
	r, err := http.Post("http://"+n.settings.Local.String()+path, platform.ContentType, bytes.NewReader(data))
	require.NoError(s.t, err)
	text, err := io.ReadAll(r.Body)
	require.NoError(s.t, err)
	require.NoError(s.t, r.Body.Close())
	return r.StatusCode, string(text)
}

// soundHeartbeat returns the body of a heartbeat of a server that has just started at the address of a node's server.
func soundHeartbeat(n *node) map[string]any {
	return map[string]any{
		"address": n.settings.Backend.String(), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": n.settings.Service, "version": "v1", "zone": n.settings.Zone, "slots": 12},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_left": "0ms"},
		"holds":  [][3]uint64{}, "freed": [][3]any{},
	}
}

// ownedKeys returns the probed keys that the server of a node runs requests for.
func (s *cluster) ownedKeys(n *node) []int {
	var list []int
	for key := 0; key < 1<<16; key += keyStep {
		r := s.send(n, http.MethodGet, "/stock/x", key)
		if slices.Contains(s.judge.Runs(r.ID), n.config.ID) {
			list = append(list, key)
		}
	}
	return list
}

// TestReportOfOtherWriterFreesNoKeys guards against two holders of a key, and against a live server that is never used again,
// after a heartbeat of another writer at the process beside it: one with holes, or a whole one under another id.
func TestReportOfOtherWriterFreesNoKeys(t *testing.T) {
	for _, c := range []struct {
		name string
		// ofServer means that the heartbeat has the id and the start of the live server.
		ofServer, hidesID bool
		edit              func(map[string]any)
		status            int
		text              string
	}{
		{name: "no_zone_version_cold_left", status: http.StatusBadRequest, text: "info.version is missing", edit: func(body map[string]any) {
			body["info"] = map[string]any{"service": "stock", "slots": 12}
			body["status"] = map[string]any{"state": "ready", "seq": 1}
		}},
		{name: "no_lists", ofServer: true, status: http.StatusBadRequest, text: "holds and freed are missing", edit: func(body map[string]any) {
			delete(body, "holds")
			delete(body, "freed")
		}},
		{name: "whole", status: http.StatusConflict, text: "another server responds", edit: func(map[string]any) {}},
		{name: "whole_without_identity", hidesID: true, status: http.StatusServiceUnavailable, text: "may still hold keys", edit: func(map[string]any) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newClusterOf(t, clusterConfig{stock: 3, hidesIDs: c.hidesID})
			n := s.nodes[0]
			before := s.ownedKeys(n)
			require.NotEmpty(t, before)
			id, body := "i-odd", soundHeartbeat(n)
			if c.ofServer {
				id, body["born"] = n.config.ID, n.config.BornMillis
				body["status"].(map[string]any)["seq"] = 1 << 20
			}
			c.edit(body)
			status, text := s.report(n, platform.HeartbeatPath+id, body)
			require.Equal(t, c.status, status)
			require.Contains(t, text, c.text)
			for end := time.Now().Add(n.settings.Bounds.MaxHold); time.Now().Before(end); time.Sleep(testHeartbeat) {
				require.Equal(t, before, s.ownedKeys(n), "the live server keeps its keys")
			}
			require.False(t, s.logged("event=heartbeat_of_earlier_life"), "the live server hasn't been replaced")
		})
	}
}

// TestReplacedServer guards against keys with two holders, and against a server that waits long for its keys, after another one
// has taken the place of the server at once, so that nobody has noticed the end of the earlier one.
func TestReplacedServer(t *testing.T) {
	for _, c := range []struct {
		name, id string
		hidesIDs bool
		// within is how long the keys of the earlier server may be without an owner.
		within time.Duration
	}{
		{name: "other_id", id: "i-next", within: 4 * time.Second},
		{name: "same_id", id: "i-0", within: 4 * time.Second},
		// Nothing shows that the earlier server has ended, so its keys are free when its grants have expired.
		{name: "other_id_unidentified", id: "i-next", hidesIDs: true, within: 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newClusterOf(t, clusterConfig{stock: 2, hidesIDs: c.hidesIDs})
			n := s.nodes[0]
			n.stopServer()
			n.config.ID = c.id
			s.startServer(n)
			started := time.Now()
			require.Eventually(t, func() bool { return s.allKeysServed(1) && len(s.ownedKeys(n)) > 0 }, c.within, 20*time.Millisecond)
			t.Logf("served after %s", time.Since(started).Round(time.Millisecond))
		})
	}
}
