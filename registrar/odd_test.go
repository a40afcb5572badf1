package registrar_test

import (
	"bytes"
	"compress/flate"
	"math"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscusline/assigner"
	"hibiscusline/registrar"
)

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := cbor.Marshal(value)
	require.NoError(t, err)
	return data
}

// deflate returns data as a table record holds it.
func deflate(t *testing.T, data []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(data)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return b.Bytes()
}

func stockTable() *assigner.Table {
	return &assigner.Table{
		Service: "stock", LastToken: 7, Owners: []assigner.Owner{{Member: "a"}},
		Slices: []assigner.Slice{{Owner: 1, Token: 7}, {Owner: 1, Token: 3}},
	}
}

// TestOddEntries guards against a record of another writer that makes a process exit, that replaces the record that it
// overwrites, or after which later records are no longer followed.
func TestOddEntries(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x81}, 100_000), 0x80)
	member := func(edit func(*registrar.Member)) []byte {
		m, err := registrar.DecodeMember(memberEntry(t, "a", 3, 0).Value)
		require.NoError(t, err)
		edit(&m)
		return encode(t, m)
	}
	table := func(edit func(*assigner.Table)) []byte {
		c := stockTable()
		edit(c)
		data, err := c.Encode()
		require.NoError(t, err)
		return data
	}
	members := map[string][]byte{
		"nested":                  nested,
		"nested field":            append([]byte{0x8b}, nested...),
		"other type":              encode(t, "ready"),
		"cut short":               memberEntry(t, "a", 3, 0).Value[:9],
		"bytes after it":          append(memberEntry(t, "a", 3, 0).Value, 0),
		"number too large":        encode(t, []any{"a", 1e300, "zone-a", []byte{10, 0, 0, 1, 0, 80}, "stock", []any{"i", 5}, 1, 12, 0, false}),
		"port out of range":       encode(t, []any{"a", 1, "zone-a", "10.0.0.1:70000", "stock", []any{"i", 5}, 1, 12, 0, false}),
		"no port":                 member(func(m *registrar.Member) { m.Peer = netip.MustParseAddrPort("10.0.0.1:0") }),
		"no address":              member(func(m *registrar.Member) { m.Peer = netip.AddrPort{} }),
		"too many slots":          member(func(m *registrar.Member) { m.Slots = math.MaxInt }),
		"negative slots":          member(func(m *registrar.Member) { m.Slots = -1 }),
		"epoch without successor": member(func(m *registrar.Member) { m.Epoch = math.MaxUint64 }),
		"revision too large":      member(func(m *registrar.Member) { m.Revision = math.MaxUint64 }),
		"unknown state":           member(func(m *registrar.Member) { m.State = 200 }),
		"name of another":         member(func(m *registrar.Member) { m.Name = "b" }),
	}
	tables := map[string][]byte{
		"junk":                    []byte("junk"),
		"nested":                  deflate(t, nested),
		"other type":              deflate(t, encode(t, "stock")),
		"decompressed too large":  deflate(t, make([]byte, 64<<20)),
		"token without successor": table(func(c *assigner.Table) { c.LastToken = math.MaxUint64 }),
		"token of the future":     table(func(c *assigner.Table) { c.Slices[0].Token = 8 }),
		"serial too large":        table(func(c *assigner.Table) { c.LastSerial = math.MaxUint64 }),
		"owner out of range":      table(func(c *assigner.Table) { c.Slices[0].Owner = 2 }),
		"too many owners":         table(func(c *assigner.Table) { c.Owners = make([]assigner.Owner, math.MaxUint16+1) }),
		"other service":           table(func(c *assigner.Table) { c.Service = "orders" }),
	}
	for key, list := range map[string]map[string][]byte{registrar.MemberKey("a"): members, registrar.TableKey("stock"): tables} {
		for name, value := range list {
			t.Run(key+" "+name, func(t *testing.T) {
				r := registrar.New()
				valid, err := stockTable().Encode()
				require.NoError(t, err)
				entries := []registrar.Entry{memberEntry(t, "a", 3, 0), {Key: registrar.TableKey("stock"), Offset: 1, Value: valid}}
				require.NoError(t, r.Apply(entries, 2))
				before := r.View()
				err = r.Apply([]registrar.Entry{{Key: key, Offset: 2, Value: value}, memberEntry(t, "b", 1, 3)}, 4)
				require.ErrorContains(t, err, key)
				v := r.View()
				require.EqualValues(t, 4, v.End)
				require.Contains(t, v.Members, "b", "the records after it are followed")
				require.Equal(t, before.Members["a"], v.Members["a"])
				require.Equal(t, before.Tables["stock"], v.Tables["stock"])
				require.True(t, v.Unreadable(key), "its writer must know that it has to be written again")
				for i := range entries {
					entries[i].Offset += 10
				}
				require.NoError(t, r.Apply(entries, 20))
				require.False(t, r.View().Unreadable(key))
			})
		}
	}
}

// TestOddEntryFirst guards against an unreadable record that looks like a key without a record.
func TestOddEntryFirst(t *testing.T) {
	r := registrar.New()
	require.Error(t, r.Apply([]registrar.Entry{{Key: registrar.TableKey("stock"), Offset: 0, Value: []byte("junk")}}, 1))
	require.Nil(t, r.View().Tables["stock"])
	require.True(t, r.View().Unreadable(registrar.TableKey("stock")))
	require.NoError(t, r.Apply([]registrar.Entry{{Key: registrar.TableKey("stock"), Offset: 1}}, 2))
	require.False(t, r.View().Unreadable(registrar.TableKey("stock")), "it was removed")
}
