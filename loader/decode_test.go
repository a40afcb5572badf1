package loader_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/loader"
)

type sample struct {
	Name    string              `json:"name"`
	Peers   []peer              `json:"peers"`
	Weights map[string]uint8    `json:"weights"`
	Nested  map[string]*peer    `json:"nested"`
	Wait    time.Duration       `json:"wait"`
	Ratio   float64             `json:"ratio"`
	Count   int                 `json:"count"`
	Fast    bool                `json:"fast"`
	Hidden  string              `json:"-"`
	Hosts   []netip.Addr        `json:"hosts"`
	Kept    string              `json:"kept"`
	Groups  map[string][]string `json:"groups"`
}

type peer struct {
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots"`
}

func (p peer) Check() []loader.Problem {
	if p.Slots > 0 {
		return nil
	}
	return []loader.Problem{{Path: "slots", Value: fmt.Sprint(p.Slots), Allowed: "1 or more"}}
}

// TestDecodeReadsEveryType guards against types, comments or trailing commas that the decoder doesn't support, and
// against changes of fields that the document doesn't mention.
func TestDecodeReadsEveryType(t *testing.T) {
	s := sample{Kept: "default"}
	require.NoError(t, loader.Decode([]byte(`{
		// A comment, and a trailing comma below.
		"name": "a\"/*b", "peers": [{"address": "10.0.0.1:7000", "slots": 2}], "weights": {"x": 255},
		"nested": {"y": {"address": "[::1]:7000", "slots": 1}}, "wait": "1.5s", "ratio": 2.5e-1, "count": -3, "fast": true,
		"hosts": ["10.0.0.1"], "groups": {"g": ["a", "b"]},
	}`), &s))
	require.Equal(t, sample{
		Name: "a\"/*b", Peers: []peer{{netip.MustParseAddrPort("10.0.0.1:7000"), 2}}, Weights: map[string]uint8{"x": 255},
		Nested: map[string]*peer{"y": {netip.MustParseAddrPort("[::1]:7000"), 1}}, Wait: 1500 * time.Millisecond,
		Ratio: 0.25, Count: -3, Fast: true, Hosts: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, Kept: "default",
		Groups: map[string][]string{"g": {"a", "b"}},
	}, s)
}

// TestDecodeReportsEverything guards against a decoder that stops at the first error, and against messages without the
// path, the value or the line.
func TestDecodeReportsEverything(t *testing.T) {
	err := loader.Decode([]byte(`{
		"name": 5,
		"naem": "x",
		"name": null,
		"peers": [
			{"address": "10.0.0.1:7000", "slots": 0},
			{"address": "localhost:7000", "slots": "many"},
			{"address": "", "slot": 3},
			[],
		],
		"weights": {"x": 256, "y": -1, "z": 1.5},
		"nested": {"deep": {"slots": {"a": 1}}},
		"wait": 5, "ratio": "1", "count": 99999999999999999999, "fast": "yes", "Hidden": "h",
		"hosts": "10.0.0.1",
		"groups": {"g": [1]},
	}`), &sample{})
	var problems loader.Problems
	require.True(t, errors.As(err, &problems))
	goldie.New(t).Assert(t, "problems", []byte(err.Error()+"\n"))
}

// TestDecodeRefusesBrokenDocuments guards against accepting a document that is not JSON, is too long or is nested so
// deep that it could exhaust the stack.
func TestDecodeRefusesBrokenDocuments(t *testing.T) {
	var messages strings.Builder
	for _, document := range []string{
		"", "{", `{"name": "a"} {}`, "{\"name\":\n tru}", "[]", "null", "\"x\"", `{"name": 'a'}`,
		strings.Repeat("[", 1<<20), "// [[[\n" + strings.Repeat(`{"nested":`, 70),
		strings.Repeat(" ", loader.MaxDocumentBytes+1),
	} {
		err := loader.Decode([]byte(document), &sample{})
		require.Error(t, err)
		fmt.Fprintf(&messages, "%s\n", err)
	}
	goldie.New(t).Assert(t, "broken", []byte(messages.String()))
	require.NoError(t, loader.Decode([]byte(`{"name": "`+strings.Repeat(`[\"`, 100)+`" /* `+strings.Repeat("[", 100)+`*/}`), &sample{}))
	require.Error(t, loader.Decode([]byte("{}"), sample{}))
}

// FuzzDecode guards against documents that crash the decoder.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "peers": [{"address": "10.0.0.1:7000"}], "wait": "1s", "weights": {"x": 1e3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = loader.Decode(data, &sample{})
	})
}
