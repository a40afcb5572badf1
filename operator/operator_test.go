package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/applier"
	"hibiscusline/emulator"
	"hibiscusline/operator"
)

const stream = "test"

// refusingAddress is an address that refuses connections: ports below 1024 are never allocated to other tests.
var refusingAddress = netip.MustParseAddrPort("127.0.0.1:1")

// fixture holds a log service and the transcript of the commands that ran against it.
type fixture struct {
	t          *testing.T
	log        *emulator.Log
	address    string
	masks      []string
	transcript strings.Builder
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, log: emulator.NewLog(emulator.LogConfig{})}
	f.address = f.serve(f.log, "LOG").String()
	return f
}

// serve starts a server. The transcript shows its address as the given name.
func (f *fixture) serve(h http.Handler, name string) netip.AddrPort {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	f.masks = append(f.masks, address, name)
	return netip.MustParseAddrPort(address)
}

func (f *fixture) run(args ...string) operator.Code {
	var out, err bytes.Buffer
	code := operator.Run(context.Background(), operator.Config{Out: &out, Err: &err}, args)
	text := fmt.Sprintf("$ hibiscusctl %s\n%s%sexit %d\n\n", strings.Join(args, " "), out.String(), err.String(), int(code))
	f.transcript.WriteString(strings.NewReplacer(f.masks...).Replace(text))
	return code
}

func (f *fixture) runWithLog(args ...string) operator.Code {
	return f.run(append(args, "--log", f.address, "--stream", stream)...)
}

func (f *fixture) append(id string, r applier.Record) {
	data, err := applier.Encode(applier.Envelope{ID: id, Record: r})
	require.NoError(f.t, err)
	f.log.Append(stream, data)
}

func (f *fixture) writeFile(name, content string) string {
	path := filepath.Join(f.t.TempDir(), name)
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	f.masks = append(f.masks, path, name)
	return path
}

func (f *fixture) requireGolden(name string) {
	goldie.New(f.t).Assert(f.t, name, []byte(f.transcript.String()))
}

const vatilaane = "../settings/vatilaane.json"

func editedExample(t *testing.T, old, new string) string {
	data, err := os.ReadFile(vatilaane)
	require.NoError(t, err)
	require.Contains(t, string(data), old)
	return strings.Replace(string(data), old, new, 1)
}

// TestPublishing guards the steps that put a configuration file in force, and every reason for which a step is refused.
func TestPublishing(t *testing.T) {
	f := newFixture(t)
	changed := f.writeFile("changed.json", editedExample(t, `"floor": 0.4`, `"floor": 0.5`))
	other := f.writeFile("other.json", editedExample(t, `"floor": 0.25`, `"floor": 0.2`))
	broken := f.writeFile("broken.json", editedExample(t, `"floor": 0.4`, `"flor": 2`))
	require.Equal(t, operator.Done, f.run("validate", vatilaane))
	require.Equal(t, operator.BadInput, f.run("validate", broken))
	require.Equal(t, operator.Done, f.runWithLog("history"))
	require.Equal(t, operator.Done, f.runWithLog("propose", vatilaane, "--as", "liis", "--comment", "first"))
	require.Equal(t, operator.Done, f.runWithLog("diff", changed))
	require.Equal(t, operator.Done, f.runWithLog("diff", changed, "--output", "json"))
	require.Equal(t, operator.Rejected, f.runWithLog("propose", changed, "--as", "mallory"))
	require.Equal(t, operator.Done, f.runWithLog("propose", changed, "--as", "liis", "--comment", "more for orders", "--id", "one"))
	require.Equal(t, operator.Done, f.runWithLog("propose", changed, "--as", "liis", "--comment", "more for orders", "--id", "one"))
	require.Equal(t, operator.Done, f.runWithLog("propose", other, "--as", "tormi", "--comment", "\x1b[31mred"))
	require.Equal(t, operator.Done, f.runWithLog("diff", "--proposal", "3"))
	require.Equal(t, operator.Rejected, f.runWithLog("approve", "3", "--as", "liis"))
	require.Equal(t, operator.Rejected, f.runWithLog("approve", "77", "--as", "tormi"))
	require.Equal(t, operator.Done, f.runWithLog("approve", "3", "--as", "tormi"))
	require.Equal(t, operator.Rejected, f.runWithLog("reject", "5", "--as", "liis"))
	require.Equal(t, operator.Rejected, f.runWithLog("propose", other, "--as", "tormi", "--base", "1"))
	require.Equal(t, operator.Done, f.runWithLog("propose", changed, "--as", "tormi"))
	require.Equal(t, operator.Done, f.runWithLog("history"))
	require.Equal(t, operator.Rejected, f.runWithLog("approve", "5", "--as", "liis", "--output", "json"))
	f.requireGolden("publishing")
}

// TestBadInput guards the exit codes and messages for invalid arguments and for an unreachable log.
func TestBadInput(t *testing.T) {
	f := newFixture(t)
	for _, args := range [][]string{
		{"publish"},
		{"validate"},
		{"validate", "absent.json"},
		{"diff"},
		{"diff", vatilaane},
		{"diff", vatilaane, "--log", "localhost"},
		{"diff", "--proposal", "x", "--log", f.address},
		{"propose", vatilaane, "--log", f.address},
		{"approve", "-1", "--as", "liis", "--log", f.address},
		{"approve", "0", "--as", "liis", "--log", f.address},
		{"history", "--output", "yaml"},
		{"history", "--timeout", "0s"},
		{"history", "--timeout", "5"},
		{"history", "--stream", ""},
		{"status", "nowhere"},
		{"evict", "x", "--as", "liis", "--log", f.address},
		{"move", "--service", "s", "--log", f.address},
		{"drain", "nobody", "--log", f.address},
		{"evacuate", "z1", "--log", f.address},
		{"evacuate", "--as", "liis", "--log", f.address},
		{"evacuate", "z1", "--as", "liis", "--log", f.address},
		{"restore", "", "--as", "liis", "--log", f.address},
	} {
		require.Equal(t, operator.BadInput, f.run(args...), args)
	}
	f.requireGolden("bad_input")
	require.Equal(t, operator.Unreachable, f.run("history", "--log", refusingAddress.String()))
	require.NoError(t, f.log.Change(func(s *emulator.LogSettings) { s.Outage = emulator.Refuse }))
	require.Equal(t, operator.Unreachable, f.runWithLog("propose", vatilaane, "--as", "liis"))
}

// TestLostResponse guards against a proposal that is reported as failed, or appended twice, after the response to its
// append was lost.
func TestLostResponse(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.log.Change(func(s *emulator.LogSettings) { s.LoseResponses = 1 }))
	require.Equal(t, operator.Done, f.runWithLog("propose", vatilaane, "--as", "liis"))
	require.Contains(t, f.transcript.String(), "proposal 1 is in_force")
}

// newAdminFake returns a fake of the admin endpoint of a hibiscusd.
func newAdminFake(status string) http.Handler {
	mux := http.NewServeMux()
	reply := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}
	}
	mux.HandleFunc("GET /status", reply(http.StatusOK, status))
	mux.HandleFunc("GET /dump", reply(http.StatusOK, `{"queue":{"order":3}}`))
	mux.HandleFunc("POST /drain", reply(http.StatusOK, ""))
	mux.HandleFunc("POST /move", func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		reply(http.StatusConflict, fmt.Sprintf(`{"message": %q}`, "busy with "+strings.TrimSpace(body.String())))(w, r)
	})
	return mux
}

// TestMembers guards the commands on members: what status shows for each kind of member, and that evict refuses a
// member that responds.
func TestMembers(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, operator.Done, f.runWithLog("propose", vatilaane, "--as", "liis"))
	gone := f.serve(nil, "GONE")
	admins := []netip.AddrPort{
		f.serve(newAdminFake(`{"member":"0000000000000001","name":"a","zone":"z1","service":"stock-lookup","version":1,"applied":4,
			"lease":{"held":true,"remaining_ms":640},"owned":[{"range":{"low":0,"high":9},"epoch":2}]}`), "A"),
		f.serve(newAdminFake(`{"member":"0000000000000002","name":"b","zone":"z2","service":"stock-lookup","version":0,"applied":1,
			"lease":{"held":false},"draining":true}`), "B"),
		refusingAddress, f.serve(newAdminFake(`{"member":"0000000000000009"}`), "REUSED"), gone,
	}
	for i, name := range []string{"a", "b", "c", "d", "d"} {
		f.append(fmt.Sprint("join", i), applier.Join{Member: applier.Member{
			ID: applier.MemberID(i + 1), Name: name, Zone: fmt.Sprint("z", i+1), Service: "stock-lookup", Admin: admins[i], Slots: 12,
		}})
	}
	require.Equal(t, operator.Done, f.runWithLog("status"))
	require.Equal(t, operator.Done, f.run("status", admins[0].String(), "--output", "json"))
	require.Equal(t, operator.Done, f.runWithLog("dump", "a"))
	require.Equal(t, operator.Rejected, f.runWithLog("dump", "0000000000000005"))
	require.Equal(t, operator.Done, f.run("drain", admins[1].String()))
	require.Equal(t, operator.Rejected, f.runWithLog("move", "--service", "stock-lookup", "--key", "wadding", "--to", "b"))
	require.Equal(t, operator.Done, f.runWithLog("move", "--service", "stock-lookup", "--key", "wadding", "--to", "a"))
	require.Equal(t, operator.BadInput, f.runWithLog("move", "--service", "order-desk", "--key", "wadding", "--to", "a"))
	require.Equal(t, operator.BadInput, f.runWithLog("evict", "a", "--as", "liis"))
	require.Equal(t, operator.Rejected, f.runWithLog("evict", "a", "--as", "liis", "--confirm-stopped"))
	require.Equal(t, operator.Rejected, f.runWithLog("evict", "0000000000000005", "--as", "liis", "--confirm-stopped"))
	require.Equal(t, operator.Rejected, f.runWithLog("evict", "c", "--as", "mallory", "--confirm-stopped"))
	require.Equal(t, operator.BadInput, f.runWithLog("evict", "d", "--as", "liis", "--confirm-stopped"))
	require.Equal(t, operator.Done, f.runWithLog("evict", "c", "--as", "liis", "--confirm-stopped"))
	require.Equal(t, operator.Done, f.runWithLog("evict", "0000000000000004", "--as", "liis", "--confirm-stopped"))
	f.requireGolden("members")
}

// TestEvacuation guards the commands on availability zones: who may use them, what status and history show, that a
// repetition changes nothing, and that a mistyped zone isn't taken.
func TestEvacuation(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, operator.Done, f.runWithLog("propose", vatilaane, "--as", "liis"))
	f.transcript.Reset()
	a := f.serve(newAdminFake(`{"member":"0000000000000001","name":"a","zone":"z1","service":"stock-lookup","version":1,"applied":2,
		"lease":{"held":true,"remaining_ms":640},"evacuated_zones":["z1"]}`), "A")
	f.append("join", applier.Join{Member: applier.Member{ID: 1, Name: "a", Zone: "z1", Service: "stock-lookup", Admin: a, Slots: 12}})
	require.Equal(t, operator.Done, f.runWithLog("history", "--evacuations"))
	require.Equal(t, operator.BadInput, f.runWithLog("evacuate", "z9", "--as", "liis"))
	require.Equal(t, operator.Rejected, f.runWithLog("evacuate", "z1", "--as", "mallory"))
	require.Equal(t, operator.Done, f.runWithLog("restore", "z1", "--as", "liis"))
	require.Equal(t, operator.Done, f.runWithLog("evacuate", "z1", "--as", "liis", "--id", "one"))
	require.Equal(t, operator.Done, f.runWithLog("evacuate", "z1", "--as", "liis", "--id", "one"))
	require.Equal(t, operator.Done, f.runWithLog("evacuate", "z1", "--as", "tormi", "--output", "json"))
	require.Equal(t, operator.Done, f.runWithLog("status"))
	require.Equal(t, operator.Done, f.run("status", a.String()))
	require.Equal(t, operator.Done, f.runWithLog("restore", "z1", "--as", "tormi"))
	require.Equal(t, operator.Done, f.runWithLog("history"))
	require.Equal(t, operator.Done, f.runWithLog("history", "--evacuations", "--output", "json"))
	f.requireGolden("evacuation")
}
