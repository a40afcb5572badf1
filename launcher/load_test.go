package launcher

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hibiscusline/emulator"
	"hibiscusline/validator"
)

// TestLoadsReachProcessesWithoutCallers guards against an owner that no caller uses as an entry and that therefore
// receives no load reports of other owners. It couldn't tell that its own load is high and would never move a hot key.
func TestLoadsReachProcessesWithoutCallers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	directory := t.TempDir()
	defer showLogs(t, directory)
	f, err := Start(ctx, Config{
		Directory: directory,
		Services: []Service{{
			Name: "stock-lookup", Servers: 3, Slots: 12, Connections: 130,
			Settings: emulator.ServerSettings{ServiceTime: validator.Duration(time.Millisecond)},
		}},
		Zones: []string{"a", "b", "c"}, Configuration: testConfiguration(t),
		Command: testDaemon,
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Stop()) }()
	for _, n := range f.Nodes {
		require.EventuallyWithT(t, func(c *assert.CollectT) {
			var dump struct {
				Loads map[string]json.RawMessage `json:"loads"`
			}
			if assert.NoError(c, n.get(ctx, "/dump", &dump)) {
				assert.NotEmpty(c, dump.Loads, n.Name)
			}
		}, 10*time.Second, 100*time.Millisecond)
	}
}
